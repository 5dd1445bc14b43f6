#include "claim_codec.hpp"

#include <nlohmann/json.hpp>

#include <array>

namespace parsleypitch::detail {

namespace {

using json = nlohmann::json;

constexpr std::array<const char*, 4> state_names = {"running", "done", "not_run", "unknown"};

/// Keys and answers may contain bytes that are not valid UTF-8, which JSON cannot hold: each byte is encoded
/// as the code point of the same value.
std::string encode_bytes(const std::string& bytes) {
    std::string text;
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte < 0x80U) {
            text.push_back(c);
        } else {
            text.push_back(static_cast<char>(0xC0U | (byte >> 6U)));
            text.push_back(static_cast<char>(0x80U | (byte & 0x3FU)));
        }
    }
    return text;
}

std::string decode_bytes(const json& value) {
    const auto text = value.get<std::string>();
    std::string bytes;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const auto lead = static_cast<unsigned char>(text[i]);
        if (lead < 0x80U || i + 1 == text.size()) {
            bytes.push_back(text[i]);
        } else {
            const auto next = static_cast<unsigned char>(text[++i]);
            bytes.push_back(static_cast<char>(((lead & 0x03U) << 6U) | (next & 0x3FU)));
        }
    }
    return bytes;
}

std::int64_t to_unix_ms(wall_time time) {
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

wall_time decode_time(const json& value) {
    return wall_time(milliseconds(value.get<std::int64_t>()));
}

json encode(const recorded_answer& answer) {
    return {{"status", answer.status},
            {"content_type", encode_bytes(answer.content_type)},
            {"body", encode_bytes(answer.body)},
            {"hash", answer.hash.str()},
            {"kept", answer.kept}};
}

recorded_answer decode_answer(const json& value) {
    return {value.at("status").get<std::uint32_t>(), decode_bytes(value.at("content_type")),
            decode_bytes(value.at("body")), body_hash(value.at("hash").get<std::string>()),
            value.at("kept").get<bool>()};
}

json encode(const claim_key& key, const claim_record& record) {
    json value = {{"caller", encode_bytes(key.caller.str())},
                  {"key", encode_bytes(key.key.str())},
                  {"body", encode_bytes(record.body.str())},
                  {"runner", record.runner.id.str()},
                  {"incarnation", record.runner.born.value()},
                  {"grant", record.grant.str()},
                  {"state", state_names.at(static_cast<std::size_t>(record.state))},
                  {"since_ms", to_unix_ms(record.since)}};
    if (record.answer) {
        value["answer"] = encode(*record.answer);
    }
    return value;
}

claim_state decode_state(const json& value) {
    const auto name = value.get<std::string>();
    for (std::size_t i = 0; i < state_names.size(); ++i) {
        if (name == state_names.at(i)) {
            return static_cast<claim_state>(i);
        }
    }
    // A state that only a later release knows must not allow a second run.
    return claim_state::unknown;
}

claim_record decode_record(const json& value) {
    claim_record record;
    record.body = body_hash(decode_bytes(value.at("body")));
    record.runner.id = entry_host_id(value.at("runner").get<std::string>());
    record.runner.born = incarnation(value.at("incarnation").get<std::uint64_t>());
    record.grant = grant_id(value.at("grant").get<std::string>());
    record.state = decode_state(value.at("state"));
    record.since = decode_time(value.at("since_ms"));
    if (value.contains("answer")) {
        record.answer = decode_answer(value.at("answer"));
    }
    return record;
}

json encode(const claim_records& records) {
    json list = json::array();
    for (const auto& [key, record] : records) {
        list.push_back(encode(key, record));
    }
    return list;
}

claim_records decode_records(const json& list) {
    claim_records records;
    for (const auto& value : list) {
        records[{caller_id(decode_bytes(value.at("caller"))),
                 idempotency_key(decode_bytes(value.at("key")))}] = decode_record(value);
    }
    return records;
}

json encode(const write_history& writes) {
    json list = json::array();
    for (const write_id& id : writes) {
        list.push_back(id.str());
    }
    return list;
}

write_history decode_history(const json& list) {
    write_history writes;
    for (const auto& id : list) {
        writes.emplace_back(id.get<std::string>());
    }
    return writes;
}

/// Parses `bytes` as JSON and decodes them with `read`; JSON exceptions become `malformed_document`.
template <class T, class Read>
result<T> parse_segment(const std::string& bytes, const Read& read) {
    try {
        return read(json::parse(bytes));
    } catch (const json::exception& e) {
        return fail(errc::malformed_document, std::string("claim segment: ") + e.what());
    }
}

} // namespace

std::string encode_open_segment(const open_segment& segment) {
    json sealed = json::array();
    for (const sealed_segment& each : segment.sealed) {
        sealed.push_back({{"key", each.key.str()}, {"newest_ms", to_unix_ms(each.newest)}});
    }
    return json{{"writes", encode(segment.writes)},
                {"sealed", std::move(sealed)},
                {"records", encode(segment.records)}}
        .dump();
}

result<open_segment> decode_open_segment(const std::string& bytes) {
    return parse_segment<open_segment>(bytes, [](const json& body) {
        open_segment segment{decode_history(body.at("writes")), {}, decode_records(body.at("records"))};
        for (const auto& each : body.at("sealed")) {
            segment.sealed.push_back(
                {object_key(each.at("key").get<std::string>()), decode_time(each.at("newest_ms"))});
        }
        return segment;
    });
}

std::string encode_sealed_segment(const claim_records& records, const write_id& id) {
    return json{{"writes", encode(write_history{id})}, {"records", encode(records)}}.dump();
}

result<claim_records> decode_sealed_segment(const std::string& bytes) {
    return parse_segment<claim_records>(bytes,
                                        [](const json& body) { return decode_records(body.at("records")); });
}

result<write_history> claim_write_history(const std::string& bytes) {
    return parse_segment<write_history>(bytes,
                                        [](const json& body) { return decode_history(body.at("writes")); });
}

} // namespace parsleypitch::detail
