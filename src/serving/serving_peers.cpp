#include <parsleypitch/encoding/address_text.hpp>
#include <parsleypitch/serving/serving_peers.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace parsleypitch {

namespace {

constexpr milliseconds retry_delay{2000};
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

void serving_peers::open(const object_key& own, std::function<object_handle(const object_key&)> host_entry,
                         object_source hosts) {
    m_own_entry = host_entry(own);
    m_host_entry = std::move(host_entry);
    m_hosts = std::move(hosts);
    if (!m_report_address.empty()) {
        read_own();
    }
}

void serving_peers::on_restored() {
    if (!m_report_address.empty() && m_own_entry.read) {
        read_own();
    }
}

void serving_peers::read_own() {
    m_own_entry.read(false, [self = shared_from_this()](const result<object_reading>& read) {
        if (!read) {
            self->retry([raw = self.get()] { raw->read_own(); }, read.error());
            return;
        }
        const auto& own = read.value().object;
        if (own && decode_host(own->content) == self->m_report_address) {
            self->add_listed_peers();
            return;
        }
        self->write_own(own ? own->revision : store_revision{read.value().era, object_version()});
    });
}

void serving_peers::write_own(const store_revision& expected) {
    m_own_entry.write(encode_host(m_report_address), expected,
                      [self = shared_from_this()](const result<store_revision>& written) {
                          if (written) {
                              self->m_log->info("host_entry_written", {{"revision", written.value().number},
                                                                       {"era", written.value().era}});
                              self->add_listed_peers();
                          } else {
                              self->retry([raw = self.get()] { raw->read_own(); }, written.error());
                          }
                      });
}

void serving_peers::read_list(const object_key& after, std::function<void()> done) {
    if (after.empty()) {
        m_listed.clear();
        m_listed_size.reset();
    }
    m_hosts.list(
        after, [self = shared_from_this(), after, done = std::move(done)](const result<object_page>& page) {
            if (!page) {
                self->retry([raw = self.get(), done] { raw->read_list(object_key(), done); }, page.error());
                return;
            }
            if (!self->m_listed_size.add(page.value())) {
                self->m_listed.clear();
                self->retry([raw = self.get(), done] { raw->read_list(object_key(), done); },
                            fail(errc::platform_protocol, "list: the entries exceed the size limit"));
                return;
            }
            for (const directory_object& object : page.value().objects) {
                if (const auto report_address = decode_host(object.content)) {
                    self->m_listed.push_back({object.name, object.revision, *report_address});
                }
            }
            if (page.value().has_more && !page.value().last.empty() && page.value().last != after) {
                self->read_list(page.value().last, done);
                return;
            }
            done();
        });
}

void serving_peers::add_listed_peers() {
    read_list(object_key(), [this] {
        m_log->info("peers_listed", {{"count", std::uint64_t{m_listed.size()}}});
        std::vector<endpoint> addresses;
        for (const listed_host& each : m_listed) {
            addresses.push_back(each.report_address);
        }
        m_traffic->add_peers(std::move(addresses));
        schedule_check();
    });
}

void serving_peers::schedule_check() {
    if (std::exchange(m_check_scheduled, true)) {
        return;
    }
    m_kernel->post_control_after(m_check_period, [self = shared_from_this()] {
        self->m_check_scheduled = false;
        if (self->m_stopped) {
            return;
        }
        self->read_list(object_key(), [self] {
            if (!self->is_listed()) {
                self->m_log->warning("host_entry_missing", {});
                self->read_own();
                return;
            }
            self->m_traffic->query_peers([self](const std::vector<endpoint>& active) {
                self->remove_stale(active);
                self->schedule_check();
            });
        });
    });
}

bool serving_peers::is_listed() const {
    return std::any_of(m_listed.begin(), m_listed.end(),
                       [this](const listed_host& each) { return each.report_address == m_report_address; });
}

void serving_peers::remove_stale(const std::vector<endpoint>& active) {
    for (const listed_host& each : m_stale_host_finder.find(m_listed, m_report_address, active)) {
        m_host_entry(each.name).remove(each.revision, [log = m_log,
                                                       name = each.name](const result<void>& done) {
            log->info("host_entry_removed",
                      {{"entry_host", name}, {"result", done ? "removed" : reason_name(done.error().code)}});
        });
    }
}

std::vector<listed_host> stale_host_finder::find(const std::vector<listed_host>& listed, const endpoint& own,
                                                 const std::vector<endpoint>& active) {
    const auto inactive_before = std::exchange(m_inactive, {});
    const bool removes_entries =
        !active.empty() &&
        std::all_of(active.begin(), active.end(), [&own](const endpoint& each) { return own < each; });
    std::vector<listed_host> stale;
    if (!removes_entries) {
        return stale;
    }
    for (const listed_host& each : listed) {
        if (each.report_address == own ||
            std::find(active.begin(), active.end(), each.report_address) != active.end()) {
            continue;
        }
        if (inactive_before.contains({each.name, each.revision})) {
            stale.push_back(each);
        } else {
            m_inactive.insert({each.name, each.revision});
        }
    }
    return stale;
}

void serving_peers::retry(std::function<void()> step, const error& why) {
    if (m_stopped) {
        return;
    }
    m_log->warning("peers_not_listed", {{"reason", reason_name(why.code)}});
    m_kernel->post_control_after(retry_delay, [self = shared_from_this(), step = std::move(step)] {
        if (!self->m_stopped) {
            step();
        }
    });
}

std::string encode_host(const endpoint& report_address) {
    return nlohmann::json{{reports_key, report_address.str()}}.dump();
}

std::optional<endpoint> decode_host(const std::string& content) {
    const auto parsed = nlohmann::json::parse(content, nullptr, false);
    if (!parsed.is_object() || !parsed.contains(reports_key) || !parsed[reports_key].is_string()) {
        return std::nullopt;
    }
    const auto& address = parsed[reports_key].get_ref<const std::string&>();
    return is_host_and_port(address) ? std::optional(endpoint(address)) : std::nullopt;
}

service_name serving_peers_name() {
    return service_name("serving_peers");
}

} // namespace parsleypitch
