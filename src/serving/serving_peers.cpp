#include <parsleypitch/serving/serving_peers.hpp>

#include <nlohmann/json.hpp>

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

void serving_peers::open(object_slot own, object_source hosts) {
    m_own = std::move(own);
    m_hosts = std::move(hosts);
    if (!m_reports.empty()) {
        read_own();
    }
}

void serving_peers::read_own() {
    m_own.read(false, [self = shared_from_this()](const result<directory_object>& read) {
        if (read && decode_host(read.value().content) == self->m_reports) {
            self->list(object_key());
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
                        self->list(object_key());
                    } else {
                        self->retry([raw = self.get()] { raw->read_own(); }, written.error());
                    }
                });
}

void serving_peers::list(const object_key& after) {
    m_hosts.list(after, [self = shared_from_this()](result<object_page> page) {
        if (!page) {
            self->m_listed.clear();
            self->retry([raw = self.get()] { raw->list(object_key()); }, page.error());
            return;
        }
        for (const directory_object& object : page.value().objects) {
            if (const auto reports = decode_host(object.content)) {
                self->m_listed.push_back(*reports);
            }
        }
        if (page.value().has_more && !page.value().objects.empty()) {
            self->list(object_key(page.value().objects.back().name));
            return;
        }
        self->m_log->info("peers_listed", {{"count", std::uint64_t{self->m_listed.size()}}});
        self->m_traffic->add_peers(std::exchange(self->m_listed, {}));
    });
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
