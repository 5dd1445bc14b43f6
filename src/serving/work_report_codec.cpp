#include <parsleypitch/serving/peer_exchange.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace parsleypitch {

namespace {

constexpr std::size_t report_header_size = 39; // three 64-bit integers and the CBOR headers of the arrays
constexpr std::size_t started_work_size = 10;  // two 32-bit integers: server key and milliseconds
constexpr std::size_t server_size = 5;         // a 32-bit integer
constexpr std::size_t placement_size = 14;     // a 32-bit and a 64-bit integer: server key and prefix

constexpr std::size_t condition_size = 25; // server key, start, leaving and rate
constexpr std::size_t key_size = 9;        // a 64-bit integer
constexpr std::size_t crash_size = 16;     // server key, start and the header of the array of causes
constexpr std::size_t quarantine_size = 8; // milliseconds and the header of the array of causes
/// Positions of the fields of a report, and those of its quarantine part.
constexpr std::size_t quarantine_field = 5;
constexpr std::size_t conditions_field = 6;
constexpr std::size_t configuration_field = 7;
constexpr std::size_t crashes_field = 0;
constexpr std::size_t sound_field = 1;
constexpr std::size_t quarantined_field = 2;

/// Bytes that are left in a datagram.
class remaining_size {
  public:
    /// Takes bytes of what is left.
    /// @return false if there are not enough
    bool take(std::size_t bytes) {
        const bool fits = bytes <= m_left;
        m_left -= fits ? bytes : m_left;
        return fits;
    }

  private:
    std::size_t m_left = max_report_size - report_header_size;
};

template <class Keys>
nlohmann::json encode_keys(const Keys& causes) {
    nlohmann::json keys = nlohmann::json::array();
    for (const crash_cause cause : causes) {
        keys.push_back(cause.value());
    }
    return keys;
}

nlohmann::json encode_quarantine(const quarantine_report& report, remaining_size& size) {
    nlohmann::json quarantined = nlohmann::json::array();
    for (const quarantined_causes& each : report.quarantined) {
        if (!size.take(quarantine_size + key_size * each.causes.size())) {
            break;
        }
        const auto left = std::chrono::duration_cast<milliseconds>(each.remaining).count();
        quarantined.push_back(
            {static_cast<std::uint64_t>(std::max<std::int64_t>(0, left)), encode_keys(each.causes)});
    }
    nlohmann::json crashes = nlohmann::json::array();
    for (const crash_evidence& each : report.crashes) {
        if (!size.take(crash_size + key_size * each.causes.size())) {
            break;
        }
        crashes.push_back({each.crash.server.value(), each.crash.born.value(), encode_keys(each.causes)});
    }
    nlohmann::json sound = nlohmann::json::array();
    for (const crash_cause cause : report.sound) {
        if (!size.take(key_size)) {
            break;
        }
        sound.push_back(cause.value());
    }
    return {std::move(crashes), std::move(sound), std::move(quarantined)};
}

nlohmann::json encode_conditions(const std::vector<reported_condition>& all, remaining_size& size) {
    nlohmann::json conditions = nlohmann::json::array();
    for (const reported_condition& each : all) {
        if (!size.take(condition_size)) {
            break;
        }
        nlohmann::json limit = each.limit ? nlohmann::json(each.limit->per_second) : nlohmann::json();
        conditions.push_back(
            {each.server.server.value(), each.server.born.value(), each.leaving, std::move(limit)});
    }
    return conditions;
}

bool is_unsigned(const nlohmann::json& value) {
    return value.is_number_unsigned();
}

bool are_unsigned(const nlohmann::json& value) {
    return value.is_array() && std::all_of(value.begin(), value.end(), is_unsigned);
}

template <class Keys>
Keys decode_keys(const nlohmann::json& from) {
    Keys keys;
    for (const auto& key : from) {
        keys.insert(keys.end(), crash_cause(key.get<std::uint64_t>()));
    }
    return keys;
}

bool is_crash(const nlohmann::json& value) {
    return value.is_array() && value.size() == 3 && is_unsigned(value[0]) && is_unsigned(value[1]) &&
           are_unsigned(value[2]);
}

bool is_quarantine(const nlohmann::json& value) {
    return value.is_array() && value.size() == 2 && is_unsigned(value[0]) && are_unsigned(value[1]);
}

bool is_quarantine_report(const nlohmann::json& value) {
    const auto all = [&value](std::size_t field, bool (*matches)(const nlohmann::json&)) {
        return value[field].is_array() && std::all_of(value[field].begin(), value[field].end(), matches);
    };
    return value.is_array() && value.size() == 3 && all(crashes_field, is_crash) &&
           all(sound_field, is_unsigned) && all(quarantined_field, is_quarantine);
}

bool is_condition(const nlohmann::json& value) {
    return value.is_array() && value.size() == 4 && is_unsigned(value[0]) && is_unsigned(value[1]) &&
           value[2].is_boolean() &&
           (value[3].is_null() || (value[3].is_number() && value[3].get<double>() >= 0 &&
                                   value[3].get<double>() <= max_limit.per_second));
}

bool are_conditions(const nlohmann::json& value) {
    return value.is_array() && std::all_of(value.begin(), value.end(), is_condition);
}

std::vector<reported_condition> decode_conditions(const nlohmann::json& from) {
    std::vector<reported_condition> conditions;
    conditions.reserve(from.size());
    for (const auto& each : from) {
        reported_condition decoded;
        decoded.server = {server_key(each[0].get<std::uint64_t>()),
                          incarnation(each[1].get<std::uint64_t>())};
        decoded.leaving = each[2].get<bool>();
        if (!each[3].is_null()) {
            decoded.limit = request_rate{each[3].get<double>()};
        }
        conditions.push_back(decoded);
    }
    return conditions;
}

quarantine_report decode_quarantine(const nlohmann::json& from) {
    constexpr std::uint64_t max_remaining_ms = std::uint64_t{7} * 24 * 3'600'000;
    quarantine_report report;
    for (const auto& each : from[crashes_field]) {
        report.crashes.push_back(
            {{server_key(each[0].get<std::uint64_t>()), incarnation(each[1].get<std::uint64_t>())},
             decode_keys<std::vector<crash_cause>>(each[2])});
    }
    report.sound = decode_keys<std::vector<crash_cause>>(from[sound_field]);
    for (const auto& each : from[quarantined_field]) {
        const auto left = std::min(each[0].get<std::uint64_t>(), max_remaining_ms);
        report.quarantined.push_back({decode_keys<std::set<crash_cause>>(each[1]), milliseconds(left)});
    }
    return report;
}

} // namespace

std::string encode_work_report(const work_report& report) {
    remaining_size size;
    const auto fits = [&size](std::size_t bytes) { return size.take(bytes); };
    nlohmann::json quarantine = encode_quarantine(report.quarantine, size);
    nlohmann::json conditions = encode_conditions(report.conditions, size);
    nlohmann::json started = nlohmann::json::array();
    for (const started_work& work : report.started) {
        if (!fits(started_work_size)) {
            break;
        }
        started.push_back(work.server.value());
        started.push_back(static_cast<std::uint32_t>(std::lround(std::max(0.0, work.prefill_ms))));
    }
    nlohmann::json placements = nlohmann::json::array();
    for (const prefix_placement& placed : report.placements) {
        if (!fits(placement_size)) {
            break;
        }
        placements.push_back(placed.server.value());
        placements.push_back(placed.prefix.value());
    }
    nlohmann::json refusing = nlohmann::json::array();
    for (const server_key server : report.refusing) {
        if (!fits(server_size)) {
            break;
        }
        refusing.push_back(server.value());
    }
    nlohmann::json message = {report.born.value(), report.number.value(), std::move(started),
                              std::move(placements), std::move(refusing)};
    // Entry hosts that do not know the last three fields ignore reports that have them.
    const bool has_configuration = report.configuration != config_version();
    if (!report.quarantine.empty() || !report.conditions.empty() || has_configuration) {
        message.push_back(std::move(quarantine));
        message.push_back(std::move(conditions));
    }
    if (has_configuration) {
        message.push_back(report.configuration.value());
    }
    std::string bytes;
    nlohmann::json::to_cbor(message, bytes);
    return bytes;
}

result<work_report> decode_work_report(std::string_view bytes, const endpoint& from) {
    const auto message = nlohmann::json::from_cbor(bytes.begin(), bytes.end(), true, false);
    const auto are_pairs = [](const nlohmann::json& value) {
        return are_unsigned(value) && value.size() % 2 == 0;
    };
    const bool has_configuration = message.is_array() && message.size() == configuration_field + 1;
    const bool extended = message.is_array() && (message.size() == conditions_field + 1 || has_configuration);
    const bool well_formed = message.is_array() && (message.size() == quarantine_field || extended) &&
                             is_unsigned(message[0]) && is_unsigned(message[1]) && are_pairs(message[2]) &&
                             are_pairs(message[3]) && are_unsigned(message[4]) &&
                             (!extended || (is_quarantine_report(message[quarantine_field]) &&
                                            are_conditions(message[conditions_field]))) &&
                             (!has_configuration || is_unsigned(message[configuration_field]));
    if (!well_formed) {
        return fail(errc::malformed_document,
                    "work report: expected two unsigned integers, two arrays of pairs "
                    "of them and an array of them, then nothing or a quarantine, conditions and "
                    "a configuration");
    }
    work_report report;
    report.from = from;
    report.born = incarnation(message[0].get<std::uint64_t>());
    report.number = report_number(message[1].get<std::uint64_t>());
    const auto& started = message[2];
    for (std::size_t i = 0; i < started.size(); i += 2) {
        report.started.push_back({server_key(started[i].get<std::uint64_t>()),
                                  static_cast<double>(started[i + 1].get<std::uint64_t>())});
    }
    const auto& placements = message[3];
    for (std::size_t i = 0; i < placements.size(); i += 2) {
        report.placements.push_back({server_key(placements[i].get<std::uint64_t>()),
                                     prefix_hash(placements[i + 1].get<std::uint64_t>())});
    }
    for (const auto& server : message[4]) {
        report.refusing.emplace_back(server.get<std::uint64_t>());
    }
    if (extended) {
        report.quarantine = decode_quarantine(message[quarantine_field]);
        report.conditions = decode_conditions(message[conditions_field]);
    }
    if (has_configuration) {
        report.configuration = config_version(message[configuration_field].get<std::uint64_t>());
    }
    return report;
}

} // namespace parsleypitch
