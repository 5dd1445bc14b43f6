#include <parsleypitch/settings/settings.hpp>

#include <gtest/gtest.h>

namespace parsleypitch {

class settings_fixture : public testing::Test {
  protected:
    std::string m_document = R"([entry_host]
id = "e1"
zone = "z1"
environment = "production"
callers = "127.0.0.1:8080"
peers = "127.0.0.1:8081"
seeds = ["127.0.0.1:8082"]

[platform]
objects = "127.0.0.1:7000"
hosts = "127.0.0.1:7000"
)";
};

TEST_F(settings_fixture, valid_entry_settings_are_parsed) {
    const auto parsed = parse_entry_settings(m_document, "e1.toml");
    ASSERT_TRUE(parsed) << to_string(parsed.error());
    EXPECT_EQ(parsed.value().id, entry_host_id("e1"));
    EXPECT_EQ(parsed.value().seeds.front(), endpoint("127.0.0.1:8082"));
}

// Guards against a misspelt key that is silently ignored.
TEST_F(settings_fixture, unknown_key_is_refused_with_its_name_and_position) {
    m_document.insert(m_document.find("zone ="), "zoen = \"z1\"\n");
    const auto parsed = parse_entry_settings(m_document, "e1.toml");
    ASSERT_FALSE(parsed);
    EXPECT_EQ(parsed.error().code, errc::unknown_key);
    EXPECT_NE(parsed.error().detail.find("e1.toml:3:8"), std::string::npos) << parsed.error().detail;
    EXPECT_NE(parsed.error().detail.find("entry_host.zoen"), std::string::npos);
}

TEST_F(settings_fixture, value_of_wrong_type_is_refused_with_the_expected_type) {
    m_document.insert(m_document.find("zone ="), "caller_threads = \"many\"\n");
    const auto parsed = parse_entry_settings(m_document, "e1.toml");
    ASSERT_FALSE(parsed);
    EXPECT_EQ(parsed.error().code, errc::wrong_type);
    EXPECT_NE(parsed.error().detail.find("expected an integer"), std::string::npos);
}

TEST_F(settings_fixture, host_name_in_place_of_ip_address_is_refused) {
    m_document.replace(m_document.find("127.0.0.1:8080"), 14, "entry.test:8080");
    const auto parsed = parse_entry_settings(m_document, "e1.toml");
    ASSERT_FALSE(parsed);
    EXPECT_EQ(parsed.error().code, errc::out_of_range);
}

TEST_F(settings_fixture, agent_settings_without_backend_are_refused) {
    const auto parsed = parse_agent_settings("[agent]\nid = \"b1\"\n", "b1.toml");
    ASSERT_FALSE(parsed);
    EXPECT_EQ(parsed.error().code, errc::missing_key);
    EXPECT_NE(parsed.error().detail.find("agent.backend"), std::string::npos);
}

} // namespace parsleypitch
