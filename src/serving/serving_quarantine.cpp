#include <parsleypitch/core/hash.hpp>
#include <parsleypitch/forwarding/crash_quarantine.hpp>
#include <parsleypitch/serving/serving_quarantine.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace parsleypitch {

namespace {

constexpr milliseconds retry_delay{1000};
/// Longest time after a restore of the store before a host writes missing records.
constexpr milliseconds rewrite_spread{3000};
/// Records whose ends differ by less tell of the same quarantine, which several hosts have begun.
constexpr std::chrono::minutes same_end_tolerance{1};
constexpr const char* parts_key = "parts";
constexpr const char* until_key = "until_ms";

/// Hosts that quarantine the same causes write the same object.
object_key record_name(const quarantined_causes& quarantined) {
    std::string all;
    for (const crash_cause cause : quarantined.causes) {
        all.append(std::to_string(cause.value())).append(",");
    }
    return object_key("q" + std::to_string(hash_bytes(all)));
}

std::optional<crash_cause> decode_key(const nlohmann::json& from) {
    if (!from.is_string()) {
        return std::nullopt;
    }
    const auto& digits = from.get_ref<const std::string&>();
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    const bool whole = parsed.ec == std::errc() && parsed.ptr == digits.data() + digits.size();
    return whole ? std::optional(crash_cause(value)) : std::nullopt;
}

} // namespace

std::string encode_quarantine_record(const quarantined_causes& quarantined,
                                     std::chrono::system_clock::time_point now) {
    nlohmann::json parts = nlohmann::json::array();
    for (const crash_cause cause : quarantined.causes) {
        parts.push_back(std::to_string(cause.value()));
    }
    const auto until = now.time_since_epoch() + quarantined.remaining;
    return nlohmann::json{{parts_key, std::move(parts)},
                          {until_key, std::chrono::duration_cast<milliseconds>(until).count()}}
        .dump();
}

result<quarantined_causes> decode_quarantine_record(const std::string& content,
                                                    std::chrono::system_clock::time_point now) {
    const auto parsed = nlohmann::json::parse(content, nullptr, false);
    const bool well_formed = parsed.is_object() && parsed.contains(parts_key) &&
                             parsed[parts_key].is_array() && !parsed[parts_key].empty() &&
                             parsed.contains(until_key) && parsed[until_key].is_number_integer();
    if (!well_formed) {
        return fail(errc::malformed_document, "quarantine record: expected parts and until_ms");
    }
    quarantined_causes decoded;
    for (const auto& each : parsed[parts_key]) {
        const auto key = decode_key(each);
        if (!key) {
            return fail(errc::malformed_document,
                        "quarantine record: expected keys of parts as decimal texts");
        }
        decoded.causes.insert(*key);
    }
    constexpr auto longest = std::chrono::duration_cast<milliseconds>(crash_quarantine_config{}.max_period);
    const auto now_ms = std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
    const milliseconds until(parsed[until_key].get<std::int64_t>());
    decoded.remaining = std::clamp(until, now_ms, now_ms + longest) - now_ms;
    return decoded;
}

service_name serving_quarantine::name() const {
    return serving_quarantine_name();
}

result<void> serving_quarantine::start(kernel& host) {
    BOOST_OUTCOME_TRY(log, host.find<event_log>(event_log_service_name()));
    BOOST_OUTCOME_TRY(traffic, host.find<serving_traffic>(serving_traffic_name()));
    m_kernel = &host;
    m_log = log;
    m_traffic = traffic;
    m_traffic->on_quarantine([weak = weak_from_this()](const quarantined_causes& quarantined) {
        if (const auto self = weak.lock()) {
            self->record(quarantined);
        }
    });
    return success();
}

void serving_quarantine::stop() {
    m_kernel->post_control([self = shared_from_this()] { self->m_stopped = true; });
}

void serving_quarantine::open(object_source records, std::function<object_handle(const object_key&)> record) {
    m_records = std::move(records);
    m_record = std::move(record);
    read(object_key());
}

void serving_quarantine::on_restored() {
    if (!m_records.list) {
        return;
    }
    const milliseconds delay(static_cast<std::int64_t>(m_random(std::uint64_t{rewrite_spread.count()})));
    m_kernel->post_control_after(delay, [self = shared_from_this()] {
        if (!self->m_stopped) {
            self->m_write_missing = true;
            self->read(object_key());
        }
    });
}

void serving_quarantine::read(const object_key& after) {
    if (after.empty()) {
        m_recorded.clear();
        m_listed_size.reset();
    }
    m_records.list(after, [self = shared_from_this(), after](const result<object_page>& page) {
        if (!page) {
            self->retry([raw = self.get(), after] { raw->read(after); });
            return;
        }
        self->on_page(after, page.value());
    });
}

void serving_quarantine::on_page(const object_key& after, const object_page& page) {
    adopt(page.objects);
    if (!m_listed_size.add(page)) {
        m_log->warning("quarantine_records_not_read", {{"reason", "the records exceed the size limit"}});
        return;
    }
    if (page.has_more && !page.last.empty() && page.last != after) {
        read(page.last);
    } else if (std::exchange(m_write_missing, false)) {
        write_missing();
    }
}

void serving_quarantine::adopt(const std::vector<directory_object>& objects) {
    std::vector<quarantined_causes> recorded;
    for (const directory_object& object : objects) {
        m_recorded.insert(object.name);
        auto decoded = decode_quarantine_record(object.content, m_clock());
        if (!decoded) {
            m_log->warning("quarantine_record_refused",
                           {{"record", object.name}, {"reason", decoded.error().detail}});
        } else if (decoded.value().remaining > duration::zero()) {
            recorded.push_back(std::move(decoded.value()));
        } else {
            m_record(object.name)
                .remove(object.revision, [log = m_log, name = object.name](const result<void>& done) {
                    log->info(
                        "quarantine_record_removed",
                        {{"record", name}, {"result", done ? "removed" : reason_name(done.error().code)}});
                });
        }
    }
    if (!recorded.empty()) {
        m_log->info("quarantine_records_read", {{"count", std::uint64_t{recorded.size()}}});
        m_traffic->adopt(std::move(recorded));
    }
}

void serving_quarantine::write_missing() {
    m_traffic->query_quarantines([self = shared_from_this()](const std::vector<quarantined_causes>& known) {
        for (const quarantined_causes& each : known) {
            if (!self->m_stopped && !self->m_recorded.contains(record_name(each))) {
                self->record(each);
            }
        }
    });
}

void serving_quarantine::record(const quarantined_causes& quarantined) {
    if (!m_record) {
        retry([raw = this, quarantined] { raw->record(quarantined); });
        return;
    }
    write(quarantined, store_revision());
}

void serving_quarantine::write(const quarantined_causes& quarantined, const store_revision& expected) {
    m_record(record_name(quarantined))
        .write(encode_quarantine_record(quarantined, m_clock()), expected,
               [self = shared_from_this(), quarantined](const result<store_revision>& written) {
                   self->on_written(quarantined, written);
               });
}

void serving_quarantine::on_written(const quarantined_causes& quarantined,
                                    const result<store_revision>& written) {
    const object_key name = record_name(quarantined);
    if (written) {
        m_log->info("quarantine_recorded", {{"record", name}, {"existed", false}});
    } else if (written.error().code == errc::version_conflict) {
        replace_earlier(quarantined);
    } else {
        m_log->warning("quarantine_not_recorded",
                       {{"record", name}, {"reason", reason_name(written.error().code)}});
        retry([raw = this, quarantined] { raw->record(quarantined); });
    }
}

void serving_quarantine::replace_earlier(const quarantined_causes& quarantined) {
    const object_key name = record_name(quarantined);
    const auto on_read = [self = shared_from_this(), quarantined,
                          name](const result<object_reading>& reading) {
        const auto existing = reading ? reading.value().object : std::nullopt;
        if (!existing) {
            self->retry([raw = self.get(), quarantined] { raw->record(quarantined); });
            return;
        }
        const auto known = decode_quarantine_record(existing->content, self->m_clock());
        if (known && known.value().remaining + same_end_tolerance >= quarantined.remaining) {
            self->m_log->info("quarantine_recorded", {{"record", name}, {"existed", true}});
            return;
        }
        self->write(quarantined, existing->revision);
    };
    m_record(name).read(false, on_read);
}

void serving_quarantine::retry(std::function<void()> step) {
    m_kernel->post_control_after(retry_delay, [self = shared_from_this(), step = std::move(step)] {
        if (!self->m_stopped) {
            step();
        }
    });
}

service_name serving_quarantine_name() {
    return service_name("serving_quarantine");
}

} // namespace parsleypitch
