#include <parsleypitch/serving/serving_peers.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace parsleypitch {

namespace {

constexpr milliseconds retry_pause{2000};
constexpr const char* reports_key = "reports";

} // namespace

service_name serving_peers::name() const {
    return serving_peers_name();
}

result<void> serving_peers::start(kernel& host) {
    BOOST_OUTCOME_TRY(log, host.find<event_log>(event_log_service_name()));
    BOOST_OUTCOME_TRY(traffic, host.find<serving_traffic>(serving_traffic_name()));
    m_kernel = &host;
    m_log = log;
    m_traffic = traffic;
    return success();
}

void serving_peers::stop() {
    m_kernel->post_control([self = shared_from_this()] { self->m_stopped = true; });
}

void serving_peers::open(const object_key& own, std::function<object_handle(const object_key&)> slot_of,
                         object_source hosts) {
    m_own = slot_of(own);
    m_slot_of = std::move(slot_of);
    m_hosts = std::move(hosts);
    if (!m_reports.empty()) {
        read_own();
    }
}

void serving_peers::read_own() {
    m_own.read(false, [self = shared_from_this()](const result<directory_object>& read) {
        if (read && decode_host(read.value().content) == self->m_reports) {
            self->join_listed();
        } else if (read || read.error().code == errc::object_not_found) {
            self->write_own(read ? read.value().revision : object_version());
        } else {
            self->retry([raw = self.get()] { raw->read_own(); }, read.error());
        }
    });
}

void serving_peers::write_own(object_version expected) {
    m_own.write(encode_host(m_reports), expected,
                [self = shared_from_this()](const result<object_version>& written) {
                    if (written) {
                        self->join_listed();
                    } else {
                        self->retry([raw = self.get()] { raw->read_own(); }, written.error());
                    }
                });
}

void serving_peers::list(const object_key& after, std::function<void()> done) {
    if (after.empty()) {
        m_listed.clear();
    }
    m_hosts.list(after, [self = shared_from_this(), done = std::move(done)](result<object_page> page) {
        if (!page) {
            self->retry([raw = self.get(), done] { raw->list(object_key(), done); }, page.error());
            return;
        }
        for (const directory_object& object : page.value().objects) {
            if (const auto reports = decode_host(object.content)) {
                self->m_listed.push_back({object.name, object.revision, *reports});
            }
        }
        if (page.value().has_more && !page.value().objects.empty()) {
            self->list(object_key(page.value().objects.back().name), done);
            return;
        }
        done();
    });
}

void serving_peers::join_listed() {
    list(object_key(), [this] {
        m_log->info("peers_listed", {{"count", std::uint64_t{m_listed.size()}}});
        std::vector<endpoint> addresses;
        for (const listed_host& each : m_listed) {
            addresses.push_back(each.reports);
        }
        m_traffic->add_peers(std::move(addresses));
        check_later();
    });
}

void serving_peers::check_later() {
    m_kernel->post_control_after(host_list_check_period, [self = shared_from_this()] {
        if (self->m_stopped) {
            return;
        }
        self->list(object_key(), [self] {
            self->m_traffic->ask_peers([self](const std::vector<endpoint>& heard) {
                self->remove_gone(heard);
                self->check_later();
            });
        });
    });
}

void serving_peers::remove_gone(const std::vector<endpoint>& heard) {
    for (const listed_host& each : m_gone.find(m_listed, m_reports, heard)) {
        m_slot_of(each.name).remove(each.revision, [log = m_log, name = each.name](const result<void>& done) {
            log->info("host_entry_removed",
                      {{"entry_host", name}, {"result", done ? "removed" : reason_name(done.error().code)}});
        });
    }
}

std::vector<listed_host> gone_host_finder::find(const std::vector<listed_host>& listed, const endpoint& own,
                                                const std::vector<endpoint>& heard) {
    const auto unheard_before = std::exchange(m_unheard, {});
    const bool looks = !heard.empty() && std::all_of(heard.begin(), heard.end(),
                                                     [&own](const endpoint& each) { return own < each; });
    std::vector<listed_host> gone;
    if (!looks) {
        return gone;
    }
    for (const listed_host& each : listed) {
        if (each.reports == own || std::find(heard.begin(), heard.end(), each.reports) != heard.end()) {
            continue;
        }
        if (unheard_before.contains({each.name, each.revision})) {
            gone.push_back(each);
        } else {
            m_unheard.insert({each.name, each.revision});
        }
    }
    return gone;
}

void serving_peers::retry(std::function<void()> step, const error& why) {
    if (m_stopped) {
        return;
    }
    m_log->warning("peers_not_listed", {{"reason", reason_name(why.code)}});
    m_kernel->post_control_after(retry_pause, [self = shared_from_this(), step = std::move(step)] {
        if (!self->m_stopped) {
            step();
        }
    });
}

std::string encode_host(const endpoint& reports) {
    return nlohmann::json{{reports_key, reports.str()}}.dump();
}

std::optional<endpoint> decode_host(const std::string& content) {
    const auto parsed = nlohmann::json::parse(content, nullptr, false);
    if (!parsed.is_object() || !parsed.contains(reports_key) || !parsed[reports_key].is_string()) {
        return std::nullopt;
    }
    return endpoint(parsed[reports_key].get<std::string>());
}

service_name serving_peers_name() {
    return service_name("serving_peers");
}

} // namespace parsleypitch
