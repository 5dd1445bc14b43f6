#include <parsleypitch/core/hash.hpp>
#include <parsleypitch/forwarding/prompt_quarantine.hpp>
#include <parsleypitch/serving/serving_quarantine.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace parsleypitch {

namespace {

constexpr milliseconds retry_delay{1000};
constexpr const char* parts_key = "parts";
constexpr const char* until_key = "until_ms";

/// Hosts that quarantine the same parts write the same object.
object_key record_name(const quarantined_parts& quarantined) {
    std::string all;
    for (const prompt_part_key part : quarantined.parts) {
        all.append(std::to_string(part.value())).append(",");
    }
    return object_key("q" + std::to_string(hash_bytes(all)));
}

std::optional<prompt_part_key> decode_key(const nlohmann::json& from) {
    if (!from.is_string()) {
        return std::nullopt;
    }
    const auto& digits = from.get_ref<const std::string&>();
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    const bool whole = parsed.ec == std::errc() && parsed.ptr == digits.data() + digits.size();
    return whole ? std::optional(prompt_part_key(value)) : std::nullopt;
}

} // namespace

std::string encode_quarantine_record(const quarantined_parts& quarantined,
                                     std::chrono::system_clock::time_point now) {
    nlohmann::json parts = nlohmann::json::array();
    for (const prompt_part_key part : quarantined.parts) {
        parts.push_back(std::to_string(part.value()));
    }
    const auto until = now.time_since_epoch() + quarantined.remaining;
    return nlohmann::json{{parts_key, std::move(parts)},
                          {until_key, std::chrono::duration_cast<milliseconds>(until).count()}}
        .dump();
}

result<quarantined_parts> decode_quarantine_record(const std::string& content,
                                                   std::chrono::system_clock::time_point now) {
    const auto parsed = nlohmann::json::parse(content, nullptr, false);
    const bool well_formed = parsed.is_object() && parsed.contains(parts_key) &&
                             parsed[parts_key].is_array() && !parsed[parts_key].empty() &&
                             parsed.contains(until_key) && parsed[until_key].is_number_integer();
    if (!well_formed) {
        return fail(errc::malformed_document, "quarantine record: expected parts and until_ms");
    }
    quarantined_parts decoded;
    for (const auto& each : parsed[parts_key]) {
        const auto key = decode_key(each);
        if (!key) {
            return fail(errc::malformed_document,
                        "quarantine record: expected keys of parts as decimal texts");
        }
        decoded.parts.insert(*key);
    }
    const milliseconds until(parsed[until_key].get<std::int64_t>());
    const auto left = until - std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
    decoded.remaining = std::clamp<duration>(left, duration::zero(), prompt_quarantine_config{}.max_period);
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
    m_traffic->on_quarantine([weak = weak_from_this()](const quarantined_parts& quarantined) {
        if (const auto self = weak.lock()) {
            self->write(quarantined);
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

void serving_quarantine::read(const object_key& after) {
    m_records.list(after, [self = shared_from_this(), after](const result<object_page>& page) {
        if (!page) {
            self->retry([raw = self.get(), after] { raw->read(after); });
            return;
        }
        self->on_page(after, page.value());
    });
}

void serving_quarantine::on_page(const object_key& after, const object_page& page) {
    std::vector<quarantined_parts> recorded;
    for (const directory_object& object : page.objects) {
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
    if (page.has_more && !page.objects.empty() && page.objects.back().name != after) {
        read(page.objects.back().name);
    }
}

void serving_quarantine::write(const quarantined_parts& quarantined) {
    if (!m_record) {
        retry([raw = this, quarantined] { raw->write(quarantined); });
        return;
    }
    const object_key name = record_name(quarantined);
    m_record(name).write(
        encode_quarantine_record(quarantined, m_clock()), object_version(),
        [self = shared_from_this(), quarantined, name](const result<object_version>& written) {
            const bool exists = !written && written.error().code == errc::version_conflict;
            if (written || exists) {
                self->m_log->info("quarantine_recorded", {{"record", name}, {"existed", exists}});
                return;
            }
            self->m_log->warning("quarantine_not_recorded",
                                 {{"record", name}, {"reason", reason_name(written.error().code)}});
            self->retry([raw = self.get(), quarantined] { raw->write(quarantined); });
        });
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
