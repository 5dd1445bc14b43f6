#include "directory_codec.hpp"
#include "request_codec.hpp"
#include "store_client.hpp"

#include <parsleypitch/serving/peer_exchange.hpp>
#include <parsleypitch/serving/serving_peers.hpp>

#include <gtest/gtest.h>

#include <thread>

namespace parsleypitch::platform {

/// One entry of another writer between two sound ones.
struct odd_entry {
    const char* name;
    std::string object;
};

std::string nested(std::size_t depth, const std::string& open, const std::string& close) {
    std::string text;
    for (std::size_t i = 0; i < depth; ++i) {
        text += open;
    }
    for (std::size_t i = 0; i < depth; ++i) {
        text += close;
    }
    return text;
}

std::vector<odd_entry> odd_entries() {
    constexpr std::size_t deep = 200'000; // about 1 MB of objects, the largest value that the store takes
    const std::string metadata = R"("metadata":{"name":"odd","revision":2})";
    const std::string deep_arrays = nested(deep, "[", "]");
    const std::string deep_objects = nested(deep, R"({"a":)", "").append("1") + std::string(deep, '}');
    return {{"deep_arrays_in_spec", "{" + metadata + R"(,"spec":)" + deep_arrays + "}"},
            {"deep_objects_in_spec", "{" + metadata + R"(,"spec":)" + deep_objects + "}"},
            {"deep_arrays_in_metadata",
             R"({"metadata":{"name":"odd","revision":2,"x":)" + deep_arrays + R"(},"spec":{}})"},
            {"huge_exponent_in_spec", "{" + metadata + R"(,"spec":{"slots":1e999}})"},
            {"huge_exponent_in_metadata", R"({"metadata":{"name":"odd","revision":1e999},"spec":{}})"},
            {"many_digits_in_spec", "{" + metadata + R"(,"spec":{"born":)" + std::string(400, '9') + "}}"},
            {"many_digits_in_metadata",
             R"({"metadata":{"name":"odd","revision":)" + std::string(400, '9') + R"(},"spec":{}})"},
            {"invalid_utf8_in_spec", "{" + metadata + ",\"spec\":{\"zone\":\"\xff\xfe\"}}"},
            {"invalid_utf8_in_metadata", "{\"metadata\":{\"name\":\"o\xff\",\"revision\":2},\"spec\":{}}"},
            {"lone_surrogate_in_spec", "{" + metadata + R"(,"spec":{"zone":"\ud800"}})"},
            {"no_value_in_spec", "{" + metadata + R"(,"spec":{"slots":NaN}})"},
            {"spec_is_a_number", "{" + metadata + R"(,"spec":1e999})"}};
}

class odd_entry_fixture : public testing::TestWithParam<odd_entry> {
  protected:
    static store_answer answer(std::string body) {
        store_answer built;
        built.response.head.status = 200;
        built.response.body = std::move(body);
        return built;
    }
    static std::string sound(const std::string& name) {
        return R"({"metadata":{"name":")" + name + R"(","revision":1},"spec":{"service":"s","address":)" +
               R"("10.0.0.1:80","zone":"z","slots":6,"state":"ready"}})";
    }
    /// Servers among objects, as the serving directory decodes them.
    static std::vector<std::string> servers(const std::vector<directory_object>& objects) {
        std::vector<std::string> names;
        for (const directory_object& object : objects) {
            if (decode_backend_server(object)) {
                names.push_back(object.name.str());
            }
        }
        return names;
    }
};

// Guards against hosts that stop following the list of servers, or end, because of one entry in it.
TEST_P(odd_entry_fixture, list_with_one_odd_entry_gives_all_others) {
    const auto page = decode_page(answer(R"({"items":[)" + sound("a") + "," + GetParam().object + "," +
                                         sound("z") + R"(],"has_more":false,"as_of":9})"));
    ASSERT_TRUE(page);
    EXPECT_EQ(servers(page.value().objects), (std::vector<std::string>{"a", "z"}));
}

// Guards against a watch that never passes an odd entry.
TEST_P(odd_entry_fixture, watch_with_one_odd_entry_gives_all_other_changes) {
    const std::string event = R"({"deleted":false,"object":)";
    const auto batch =
        decode_events(answer(R"({"events":[)" + event + sound("a") + "}," + event + GetParam().object + "}," +
                             event + sound("z") + R"(}],"as_of":9})"));
    ASSERT_TRUE(batch);
    std::vector<directory_object> objects;
    for (const object_event& each : batch.value().events) {
        objects.push_back(each.object);
    }
    EXPECT_EQ(servers(objects), (std::vector<std::string>{"a", "z"}));
}

// Guards against a read of an odd object that ends the process.
TEST_P(odd_entry_fixture, read_of_an_odd_object_returns) {
    const auto read = decode_read(answer(GetParam().object));
    if (read && read.value().object) {
        EXPECT_FALSE(decode_backend_server(*read.value().object));
        EXPECT_FALSE(decode_host(read.value().object->content));
        EXPECT_FALSE(decode_configuration(*read.value().object));
    }
}

INSTANTIATE_TEST_SUITE_P(entries, odd_entry_fixture, testing::ValuesIn(odd_entries()),
                         [](const auto& each) { return std::string(each.param.name); });

class odd_address_fixture : public testing::TestWithParam<const char*> {};

// Guards against requests to another server, because a port that does not fit was cut to 16 bits.
TEST_P(odd_address_fixture, server_with_an_address_that_is_none_is_refused) {
    const std::string spec = R"({"service":"s","address":")" + std::string(GetParam()) +
                             R"(","zone":"z","slots":6,"state":"ready"})";
    EXPECT_FALSE(decode_backend_server({object_key("a"), store_revision(), spec}));
    EXPECT_FALSE(decode_host(R"({"reports":")" + std::string(GetParam()) + R"("})"));
}

INSTANTIATE_TEST_SUITE_P(addresses, odd_address_fixture,
                         testing::Values("10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999",
                                         "10.0.0.1:18446744073709551696", "10.0.0.1:-80", "10.0.0.1:+80",
                                         "10.0.0.1:80x", "10.0.0.1:", ":80", "10.0.0.1"));

// Guards against reports of engines and of other hosts that end the process.
TEST(odd_bytes_fixture, deeply_nested_or_huge_values_in_reports_are_refused) {
    const backend_protocol protocol = request_protocol();
    const std::string deep = nested(200'000, "[", "]");
    for (const std::string& odd : {deep, std::string("1e999"), std::string(400, '9')}) {
        EXPECT_FALSE(protocol.decode_cache_report(R"({"epoch":)" + odd + R"(,"next":1})"));
        EXPECT_FALSE(protocol.decode_prefill(R"({"kv_handle":)" + odd + "}"));
        EXPECT_FALSE(protocol.decode_start(R"({"born":)" + odd + "}"));
        std::string report = R"({"epoch":1,"next":1,"lost":)";
        report.append(odd).append(R"(,"events":[)").append(odd).append("]}");
        (void)protocol.decode_cache_report(report);
    }
    const std::string nested_cbor(2 * max_report_size, '\x81');
    EXPECT_FALSE(decode_work_report(nested_cbor, endpoint("10.0.0.1:1")));
}

} // namespace parsleypitch::platform
