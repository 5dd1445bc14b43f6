#include "claim_codec.hpp"

#include <nlohmann/json.hpp>

#include <array>

namespace parsleypitch::detail {

namespace {

using json = nlohmann::json;

constexpr std::array<const char*, 4> state_names = {"running", "done", "not_run", "unknown"};

/// Keys and answers may hold any bytes, which JSON does not: each byte becomes the code point of its value.
std::string text_of(const std::string& bytes) {
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

std::string bytes_of(const json& value) {
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

std::int64_t milliseconds_of(wall_time time) {
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

wall_time time_of(const json& value) {
    return wall_time(milliseconds(value.get<std::int64_t>()));
}

json json_of(const recorded_answer& answer) {
    return {{"status", answer.status},
            {"content_type", text_of(answer.content_type)},
            {"body", text_of(answer.body)},
            {"hash", answer.hash.str()},
            {"kept", answer.kept}};
}

recorded_answer answer_of(const json& value) {
    return {value.at("status").get<std::uint32_t>(), bytes_of(value.at("content_type")),
            bytes_of(value.at("body")), body_hash(value.at("hash").get<std::string>()),
            value.at("kept").get<bool>()};
}

json json_of(const claim_key& key, const claim_record& record) {
    json value = {{"caller", text_of(key.caller.str())},
                  {"key", text_of(key.key.str())},
                  {"body", text_of(record.body.str())},
                  {"runner", record.runner.id.str()},
                  {"incarnation", record.runner.born.value()},
                  {"grant", record.grant.str()},
                  {"state", state_names.at(static_cast<std::size_t>(record.state))},
                  {"since_ms", milliseconds_of(record.since)}};
    if (record.answer) {
        value["answer"] = json_of(*record.answer);
    }
    return value;
}

claim_state state_of(const json& value) {
    const auto name = value.get<std::string>();
    for (std::size_t i = 0; i < state_names.size(); ++i) {
        if (name == state_names.at(i)) {
            return static_cast<claim_state>(i);
        }
    }
    // A state written by a later release must never lead to a second run.
    return claim_state::unknown;
}

claim_record record_of(const json& value) {
    claim_record record;
    record.body = body_hash(bytes_of(value.at("body")));
    record.runner.id = entry_host_id(value.at("runner").get<std::string>());
    record.runner.born = incarnation(value.at("incarnation").get<std::uint64_t>());
    record.grant = grant_id(value.at("grant").get<std::string>());
    record.state = state_of(value.at("state"));
    record.since = time_of(value.at("since_ms"));
    if (value.contains("answer")) {
        record.answer = answer_of(value.at("answer"));
    }
    return record;
}

json json_of(const claim_records& records) {
    json list = json::array();
    for (const auto& [key, record] : records) {
        list.push_back(json_of(key, record));
    }
    return list;
}

claim_records records_of(const json& list) {
    claim_records records;
    for (const auto& value : list) {
        records[{caller_id(bytes_of(value.at("caller"))), idempotency_key(bytes_of(value.at("key")))}] =
            record_of(value);
    }
    return records;
}

json json_of(const write_history& writes) {
    json list = json::array();
    for (const write_id& id : writes) {
        list.push_back(id.str());
    }
    return list;
}

write_history history_of(const json& list) {
    write_history writes;
    for (const auto& id : list) {
        writes.emplace_back(id.get<std::string>());
    }
    return writes;
}

/// Runs `read` over the parsed bytes and turns a wrong form into a typed error.
template <class T, class Read>
result<T> parsed(const std::string& bytes, const Read& read) {
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
        sealed.push_back({{"key", each.key.str()}, {"newest_ms", milliseconds_of(each.newest)}});
    }
    return json{{"writes", json_of(segment.writes)},
                {"sealed", std::move(sealed)},
                {"records", json_of(segment.records)}}
        .dump();
}

result<open_segment> decode_open_segment(const std::string& bytes) {
    return parsed<open_segment>(bytes, [](const json& body) {
        open_segment segment{history_of(body.at("writes")), {}, records_of(body.at("records"))};
        for (const auto& each : body.at("sealed")) {
            segment.sealed.push_back(
                {object_key(each.at("key").get<std::string>()), time_of(each.at("newest_ms"))});
        }
        return segment;
    });
}

std::string encode_sealed_segment(const claim_records& records, const write_id& id) {
    return json{{"writes", json_of(write_history{id})}, {"records", json_of(records)}}.dump();
}

result<claim_records> decode_sealed_segment(const std::string& bytes) {
    return parsed<claim_records>(bytes, [](const json& body) { return records_of(body.at("records")); });
}

result<write_history> claim_write_history(const std::string& bytes) {
    return parsed<write_history>(bytes, [](const json& body) { return history_of(body.at("writes")); });
}

} // namespace parsleypitch::detail
