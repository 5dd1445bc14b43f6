#include "store_stand_in.hpp"

#include "names.hpp"
#include "stand_in_answers.hpp"

#include <parsleypitch/core/timer.hpp>

#include <deque>
#include <list>
#include <map>
#include <optional>

namespace parsleypitch::soak {

namespace {

using nlohmann::json;
namespace names = platform::names;

/// Small enough that lists usually span several pages.
constexpr std::size_t page_size = 4;
constexpr std::size_t max_history_length = 200;
constexpr std::uint64_t percent_scale = 100;
constexpr milliseconds max_write_delay{3000};
/// Time after a restore until the operator and the engines have written again.
constexpr milliseconds rewrite_delay{700};
constexpr unsigned status_ok = 200;
constexpr unsigned status_created = 201;
constexpr unsigned status_malformed = 400;
constexpr unsigned status_missing = 404;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_history_gone = 410;
constexpr unsigned status_rate_limited = 429;
constexpr unsigned status_busy = 503;

/// A parsed request target; the name is empty for lists and watches.
struct object_target {
    std::string kind;
    std::string name;
    std::map<std::string, std::string> query;

    [[nodiscard]] std::optional<std::uint64_t> number(const std::string& key) const {
        const auto found = query.find(key);
        return found == query.end() ? std::nullopt : std::optional(std::stoull(found->second));
    }
};

object_target parse_target(const std::string& text) {
    object_target target;
    const std::size_t question = text.find('?');
    const std::string path = text.substr(names::objects_path.size(), question - names::objects_path.size());
    const std::size_t slash = path.find('/');
    target.kind = path.substr(0, slash);
    target.name = slash == std::string::npos ? "" : path.substr(slash + 1);
    std::string rest = question == std::string::npos ? "" : text.substr(question + 1);
    while (!rest.empty()) {
        const std::size_t end = rest.find('&');
        const std::string pair = rest.substr(0, end);
        const std::size_t equals = pair.find('=');
        target.query[pair.substr(0, equals)] = equals == std::string::npos ? "" : pair.substr(equals + 1);
        rest = end == std::string::npos ? "" : rest.substr(end + 1);
    }
    return target;
}

} // namespace

struct store_stand_in::state : std::enable_shared_from_this<store_stand_in::state> {
    struct change {
        object_version revision;
        std::string kind;
        json event;
    };
    struct waiting_watch {
        std::string kind;
        object_version from;
        exchange_ptr exchange;
        timer_cancel cancel;
    };
    struct stored_object {
        json spec;
        object_version revision;
    };
    using objects_of = std::map<std::string, stored_object>;
    struct contents {
        std::map<std::string, objects_of> objects;
        std::deque<change> history;
        object_version newest;
        object_version discarded_through;
    };

    [[nodiscard]] contents current() const { return {objects, history, newest, discarded_through}; }

    state(asio::io_context& io, endpoint at, random_hook random_source)
        : context(&io), listen(std::move(at)), random(std::move(random_source)),
          listener(
              io, [this](const exchange_ptr& call) { receive(call); }, malformed_message_answer) {}

    void answer_json(const exchange_ptr& to, unsigned status, const json& body) const {
        answer(to, status, body.dump(),
               {{"Content-Type", "application/json"},
                {std::string(names::store_era), std::to_string(era.value())}});
    }

    void receive(const exchange_ptr& call) {
        ++calls;
        switch (condition.mode) {
        case store_response_mode::resets:
            call->abort();
            return;
        case store_response_mode::silence:
            withheld.push_back(call);
            return;
        case store_response_mode::busy:
            answer_json(call, status_busy, json::object());
            return;
        case store_response_mode::rate_limited:
            answer_json(call, status_rate_limited, json::object());
            return;
        case store_response_mode::normal:
            break;
        }
        if (call->message().target == names::usage_path) {
            take_duty_call(call);
            return;
        }
        run_after(condition.delay, [this, call] { handle(call); });
    }

    void take_duty_call(const exchange_ptr& call) {
        constexpr std::uint64_t unanswered_period = 5;
        if (duty_hook) {
            duty_hook(call->message());
        }
        if (++duty_calls % unanswered_period == 0) {
            call->abort();
        } else {
            answer_json(call, status_ok, json::object());
        }
    }

    void handle(const exchange_ptr& call) {
        const http::request& message = call->message();
        const object_target target = parse_target(message.target);
        if (message.method == "GET") {
            read(call, target);
            return;
        }
        if (random(percent_scale) >= condition.lost_writes_percent) {
            write(call, target);
            return;
        }
        // The write is applied immediately or later, and the connection is closed without an answer.
        const bool late = random(2) == 0;
        const auto delay = milliseconds(random(static_cast<std::uint64_t>(max_write_delay.count())));
        run_after(late ? delay : milliseconds(0),
                  [this, message = message, target] { apply(message, target); });
        call->abort();
    }

    void read(const exchange_ptr& call, const object_target& target) {
        if (!target.name.empty()) {
            const auto& objects_of_kind = objects[target.kind];
            const auto found = objects_of_kind.find(target.name);
            if (found == objects_of_kind.end()) {
                answer_json(call, status_missing, json::object());
            } else {
                answer_json(call, status_ok, encode(found->first, found->second));
            }
        } else if (const auto from = target.number("watch")) {
            watch(call, target, object_version(*from));
        } else {
            list(call, target);
        }
    }

    void list(const exchange_ptr& call, const object_target& target) {
        const auto& objects_of_kind = objects[target.kind];
        const auto previous_name = target.query.find("after");
        auto at = previous_name == target.query.end() ? objects_of_kind.begin()
                                                      : objects_of_kind.upper_bound(previous_name->second);
        json items = json::array();
        for (; at != objects_of_kind.end() && items.size() < page_size; ++at) {
            items.push_back(encode(at->first, at->second));
        }
        answer_json(call, status_ok,
                    {{"items", items}, {"has_more", at != objects_of_kind.end()}, {"as_of", newest.value()}});
    }

    void watch(const exchange_ptr& call, const object_target& target, object_version from) {
        if (from < discarded_through) {
            answer_json(call, status_history_gone, json::object());
            return;
        }
        if (json events = events_after(target.kind, from); !events.empty()) {
            answer_json(call, status_ok, {{"events", std::move(events)}, {"as_of", newest.value()}});
            return;
        }
        const milliseconds wait(target.number("wait_ms").value_or(0));
        const auto added = watches.insert(watches.end(), {target.kind, from, call, {}});
        added->cancel = start_timer(*context, wait, [this, added] { end_watch(added); });
    }

    void end_watch(std::list<waiting_watch>::iterator which) {
        which->cancel();
        answer_json(which->exchange, status_ok,
                    {{"events", events_after(which->kind, which->from)}, {"as_of", newest.value()}});
        watches.erase(which);
    }

    [[nodiscard]] json events_after(const std::string& kind, object_version from) const {
        json events = json::array();
        for (const change& each : history) {
            if (each.kind == kind && each.revision > from) {
                events.push_back(each.event);
            }
        }
        return events;
    }

    void write(const exchange_ptr& call, const object_target& target) {
        const auto [status, body] = apply(call->message(), target);
        answer_json(call, status, body);
    }

    std::pair<unsigned, json> apply(const http::request& message, const object_target& target) {
        if (message.method == "DELETE") {
            return remove(target);
        }
        const json sent = json::parse(message.body, nullptr, false);
        if (sent.is_discarded() || !sent.contains("metadata")) {
            return {status_malformed, json::object()};
        }
        const json& metadata = sent["metadata"];
        const bool creates = message.method == "POST";
        const std::string name = creates ? metadata.value("name", "") : target.name;
        auto& objects_of_kind = objects[target.kind];
        const auto found = objects_of_kind.find(name);
        if (!creates && found == objects_of_kind.end()) {
            return {status_missing, json::object()};
        }
        const bool conflicts =
            found != objects_of_kind.end() &&
            (creates || (metadata.contains("revision") &&
                         metadata["revision"].get<std::uint64_t>() != found->second.revision.value()));
        if (conflicts) {
            return {status_conflict, encode(name, found->second)};
        }
        change_object(target.kind, name, sent.value("spec", json::object()));
        return {creates ? status_created : status_ok, encode(name, objects_of_kind[name])};
    }

    std::pair<unsigned, json> remove(const object_target& target) {
        auto& objects_of_kind = objects[target.kind];
        const auto found = objects_of_kind.find(target.name);
        if (found == objects_of_kind.end()) {
            return {status_missing, json::object()};
        }
        json object = encode(found->first, found->second);
        if (target.number("revision").value_or(found->second.revision.value()) !=
            found->second.revision.value()) {
            return {status_conflict, std::move(object)};
        }
        objects_of_kind.erase(found);
        newest = newest.next();
        record(target.kind, {{"object", object}, {"deleted", true}});
        return {status_ok, std::move(object)};
    }

    object_version change_object(const std::string& kind, const std::string& name, json spec) {
        stored_object& object = objects[kind][name];
        if (object.spec != spec) {
            newest = newest.next();
            object = {std::move(spec), newest};
            record(kind, {{"object", encode(name, object)}, {"deleted", false}});
        }
        return object.revision;
    }

    void record(const std::string& kind, json event) {
        history.push_back({newest, kind, std::move(event)});
        if (history.size() > max_history_length) {
            discarded_through = history.front().revision;
            history.pop_front();
        }
        for (auto at = watches.begin(); at != watches.end();) {
            const auto each = at++;
            if (each->kind == kind) {
                end_watch(each);
            }
        }
    }

    void end_all_watches() {
        for (auto& each : std::exchange(watches, {})) {
            each.cancel();
            each.exchange->abort();
        }
    }

    void restore() {
        const contents lost = current();
        objects = copy.objects;
        history = copy.history;
        newest = copy.newest;
        discarded_through = copy.discarded_through;
        era = era.next();
        end_all_watches();
        run_after(rewrite_delay, [this, lost] {
            write_again(lost, names::servers_kind);
            write_again(lost, names::config_kind);
        });
    }

    /// Writes what a kind had before the restore over what still is as in the copy.
    void write_again(const contents& lost, std::string_view kind_name) {
        const std::string kind(kind_name);
        const auto before = lost.objects.find(kind);
        for (const auto& [name, object] : before == lost.objects.end() ? objects_of{} : before->second) {
            if (is_as_in_copy(kind, name)) {
                change_object(kind, name, object.spec);
            }
        }
        const objects_of restored = objects[kind];
        for (const auto& [name, object] : restored) {
            const bool was_gone = before == lost.objects.end() || !before->second.contains(name);
            if (was_gone && is_as_in_copy(kind, name)) {
                (void)remove({kind, name, {}});
            }
        }
    }

    [[nodiscard]] bool is_as_in_copy(const std::string& kind, const std::string& name) {
        const auto find = [&](auto& all) {
            const auto found = all[kind].find(name);
            return found == all[kind].end() ? std::nullopt : std::optional(found->second.spec);
        };
        return find(objects) == find(copy.objects);
    }

    static json encode(const std::string& name, const stored_object& object) {
        return {{"metadata", {{"name", name}, {"revision", object.revision.value()}}}, {"spec", object.spec}};
    }

    void run_after(duration delay, std::function<void()> task) {
        if (delay <= duration::zero()) {
            task();
            return;
        }
        start_timer(*context, delay, [self = shared_from_this(), task = std::move(task)] { task(); });
    }

    asio::io_context* context;
    endpoint listen;
    random_hook random;
    http::server listener;
    store_condition condition;
    std::map<std::string, objects_of> objects;
    std::deque<change> history;
    std::list<waiting_watch> watches;
    /// Calls held without an answer while the store is silent.
    std::vector<exchange_ptr> withheld;
    std::function<void(const http::request&)> duty_hook;
    std::uint64_t duty_calls = 0;
    object_version newest{1};
    /// Watches can no longer start from a revision before this one.
    object_version discarded_through{0};
    contents copy;
    store_era era{1};
    std::uint64_t calls = 0;
};

store_stand_in::store_stand_in(asio::io_context& context, endpoint listen, random_hook random)
    : m_state(std::make_shared<state>(context, std::move(listen), std::move(random))) {
}

store_stand_in::~store_stand_in() {
    close();
}

result<void> store_stand_in::open() {
    return m_state->listener.listen(m_state->listen);
}

void store_stand_in::set(const store_condition& condition) {
    m_state->condition = condition;
    const bool watches_end =
        condition.mode == store_response_mode::resets || condition.mode == store_response_mode::busy;
    if (watches_end) {
        m_state->end_all_watches();
    }
    if (condition.mode != store_response_mode::silence) {
        for (const exchange_ptr& each : std::exchange(m_state->withheld, {})) {
            each->abort();
        }
    }
}

void store_stand_in::discard_history() {
    m_state->history.clear();
    m_state->discarded_through = m_state->newest;
    m_state->end_all_watches();
}

void store_stand_in::make_copy() {
    m_state->copy = m_state->current();
}

void store_stand_in::restore() {
    m_state->restore();
}

void store_stand_in::on_duty(std::function<void(const http::request&)> hook) {
    m_state->duty_hook = std::move(hook);
}

object_version store_stand_in::put(std::string_view kind, const object_key& name, json spec) {
    return m_state->change_object(std::string(kind), name.str(), std::move(spec));
}

void store_stand_in::remove(std::string_view kind, const object_key& name) {
    (void)m_state->remove({std::string(kind), name.str(), {}}); // the entry may have expired already
}

std::uint64_t store_stand_in::calls() const {
    return m_state->calls;
}

void store_stand_in::close() {
    m_state->listener.stop();
}

} // namespace parsleypitch::soak
