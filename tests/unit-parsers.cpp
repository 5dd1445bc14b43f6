#include "claims/claim_codec.hpp"
#include "config_documents.hpp"
#include "configuration/head_codec.hpp"
#include "configuration/part_codec.hpp"
#include "entry/http_messages.hpp"
#include "lease/lease_codec.hpp"
#include "wire/convert.hpp"

#include <parsleypitch/environment/environment.hpp>
#include <parsleypitch/settings/settings.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>

namespace parsleypitch {

namespace {

/// Texts that often reveal faults in parsers of TOML, JSON and numbers.
const std::array<std::string, 16> fuzz_texts = {"-1",
                                                "1e999",
                                                "18446744073709551616",
                                                "9223372036854775807",
                                                "null",
                                                "\"\"",
                                                "[]",
                                                "{}",
                                                "\xff",
                                                "\xc3",
                                                std::string(1, '\0'),
                                                "\\u0000",
                                                "\"\"\"",
                                                "[[",
                                                "\n",
                                                "2026-12-04"};

/// Returns random bytes or, three times out of four, a valid input with random changes.
std::string fuzzed(const std::string& valid) {
    if (*rc::gen::inRange(0, 4) == 0) {
        return *rc::gen::arbitrary<std::string>();
    }
    std::string bytes = valid;
    const auto changes = *rc::gen::container<std::vector<std::tuple<int, std::size_t, std::size_t>>>(
        rc::gen::tuple(rc::gen::inRange(0, 4), rc::gen::inRange<std::size_t>(0, 100'000),
                       rc::gen::inRange<std::size_t>(0, 256)));
    for (const auto& [kind, position, number] : changes) {
        const std::size_t at = bytes.empty() ? 0 : position % bytes.size();
        switch (kind) {
        case 0:
            bytes.erase(at, number % 32);
            break;
        case 1:
            bytes.insert(at, 1, static_cast<char>(number));
            break;
        case 2:
            bytes.insert(at, bytes.substr(number % (bytes.size() + 1), 40));
            break;
        default: {
            const std::string& text = fuzz_texts.at(number % fuzz_texts.size());
            bytes.replace(at, number % 8, text);
            break;
        }
        }
    }
    return bytes;
}

/// Checks that a failed parser returns an error with a code. RapidCheck reports exceptions.
template <class T>
void expect_value_or_typed_error(const result<T>& parsed) {
    if (!parsed) {
        RC_ASSERT(bool(parsed.error().code));
    }
}

const std::string entry_text =
    "id = \"e1\"\nzone = \"z1\"\nenvironment = \"trial\"\ncallers = \"127.0.0.1:1\"\npeers = "
    "\"127.0.0.1:2\"\n"
    "seeds = [\"127.0.0.1:3\"]\ncaller_threads = 4\nmax_body = 1000\nlog_level = 1\n"
    "[platform]\nobjects = \"127.0.0.1:4\"\nhosts = \"127.0.0.1:5\"\n";
const std::string agent_text =
    "id = \"b1\"\nzone = \"z1\"\nenvironment = \"trial\"\nkind = \"engine\"\nlisten = \"127.0.0.1:1\"\n"
    "backend = \"127.0.0.1:2\"\nseeds = []\nslots = 4\nqueue_limit = 8\n"
    "[platform]\nobjects = \"127.0.0.1:4\"\nhosts = \"127.0.0.1:5\"\n";
const std::string generation_text =
    R"({"model":"m1","adapter":"a","max_tokens":4,"prompt":"some words","stream":true,)"
    R"("messages":[{"role":"user","content":"h\u00e9"}]})";

open_segment sample_segment() {
    const claim_key key{caller_id("c\xff"), idempotency_key("k")};
    const recorded_answer answer{200, "text/plain", "\x80 body", body_hash("h"), true};
    const claim_record record{
        body_hash("b"), {entry_host_id("e1"), incarnation(1)}, grant_id("g"), claim_state::done, {}, answer};
    return {{write_id("w")}, {{object_key("claims/0/sealed-1"), {}}}, {{key, record}}};
}

} // namespace

// Guards against a process that crashes on its settings file instead of reporting the mistake.
RC_GTEST_PROP(parser_property, settings_of_any_bytes_give_a_value_or_a_typed_error, ()) {
    expect_value_or_typed_error(parse_entry_settings(fuzzed(entry_text), "file"));
    expect_value_or_typed_error(parse_agent_settings(fuzzed(agent_text), "file"));
}

// Guards against an environment document that crashes every process that reads it.
RC_GTEST_PROP(parser_property, environment_of_any_bytes_gives_a_value_or_typed_mistakes, ()) {
    const parsed_environment parsed = parse_environment(fuzzed(document()));
    for (const auto& mistake : parsed.mistakes) {
        RC_ASSERT(bool(mistake.what.code));
    }
    if (parsed.mistakes.empty()) {
        RC_ASSERT(join_parts(split_environment(parsed.value)).has_value());
    }
}

// Guards against a request body that throws an exception in a traffic thread.
RC_GTEST_PROP(parser_property, generation_body_of_any_bytes_gives_a_value_or_a_typed_error, ()) {
    for (const auto kind : {detail::generation_endpoint::completions, detail::generation_endpoint::chat}) {
        expect_value_or_typed_error(detail::parse_generation_body(fuzzed(generation_text), kind));
    }
}

// Guards against invalid UTF-8 from callers or engines that throws an exception while it is encoded as JSON.
RC_GTEST_PROP(parser_property, answers_with_any_bytes_are_encoded, ()) {
    caller_request request;
    request.id = request_id(fuzzed("r1"));
    request.work = generate_work{};
    const auto kind = detail::generation_endpoint::chat;
    const refusal refused{fail(errc::unknown_model, fuzzed("caf\xc3\xa9")), run_state::not_run, {}};
    RC_ASSERT(!detail::encode_refusal(request.id, refused).empty());
    RC_ASSERT(!detail::encode_token_event(request, {token_index(0), fuzzed("caf\xc3\xa9")}, kind).empty());
    RC_ASSERT(!detail::encode_whole_answer(request, fuzzed("caf\xc3\xa9"), {}, kind).empty());
}

// Guards against a damaged object in the store that throws an exception on a worker thread.
RC_GTEST_PROP(parser_property, objects_of_any_bytes_give_a_value_or_a_typed_error, ()) {
    const open_segment claims = sample_segment();
    expect_value_or_typed_error(detail::decode_open_segment(fuzzed(detail::encode_open_segment(claims))));
    const std::string sealed = detail::encode_sealed_segment(claims.records, write_id("w"));
    expect_value_or_typed_error(detail::decode_sealed_segment(fuzzed(sealed)));
    expect_value_or_typed_error(detail::claim_write_history(fuzzed(sealed)));
    const lease_value lease{fencing_number(3), {entry_host_id("e1"), incarnation(2)}, {write_id("w")}};
    expect_value_or_typed_error(detail::decode_lease(fuzzed(detail::encode_lease(lease))));
    const config_entry entry{config_version(1), content_hash("h"), byte_count(1), write_id("w"), {}};
    expect_value_or_typed_error(detail::decode_head(fuzzed(detail::encode_head({entry}))));
    environment into;
    const environment value = parse_environment(document()).value;
    expect_value_or_typed_error(detail::decode_part(fuzzed(detail::encode_part(value, true)), into));
}

// Guards against a message from another process that throws an exception when it is decoded or when its
// values are encoded again.
RC_GTEST_PROP(parser_property, messages_of_any_bytes_convert_without_an_exception, ()) {
    const time_point now(seconds(1000));
    v1::ExecuteRequest request;
    execute_request sample;
    sample.work = call_work{};
    if (request.ParseFromString(fuzzed(wire::to_wire(sample).SerializeAsString()))) {
        (void)wire::to_wire(wire::from_wire(request));
    }
    v1::ExecuteEvent event;
    execute_event refused{
        request_id("r"), attempt_number(1), refusal{fail(errc::queue_full, "q"), {}, {}}, {}};
    refused.load = backend_load_report{};
    if (event.ParseFromString(fuzzed(wire::to_wire(refused, now).SerializeAsString()))) {
        const auto converted = wire::from_wire(event, now);
        expect_value_or_typed_error(converted);
        if (converted) {
            (void)wire::to_wire(converted.value(), now);
        }
    }
    v1::MemberRecord record;
    if (record.ParseFromString(fuzzed(wire::to_wire(member{}, now).SerializeAsString()))) {
        (void)wire::to_wire(wire::from_wire(record, now), now);
    }
}

// Guards against deeply nested input that overflows the stack of a parser.
TEST(parser_depth, deeply_nested_input_gives_a_typed_error) {
    const std::string nested(200'000, '[');
    EXPECT_FALSE(detail::parse_generation_body(nested, detail::generation_endpoint::chat));
    EXPECT_FALSE(detail::decode_lease(nested));
    EXPECT_FALSE(parse_entry_settings("a = " + nested, "file"));
    EXPECT_FALSE(parse_environment("a = " + nested).mistakes.empty());
}

} // namespace parsleypitch
