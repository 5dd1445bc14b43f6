#include "cli/config_command.hpp"
#include "config_documents.hpp"
#include "faulty_object_store.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <map>
#include <sstream>

namespace parsleypitch::cli {

using testing::HasSubstr;

class config_command_fixture : public testing::Test {
  protected:
    faulty_object_store m_objects;
    time_point m_now{std::chrono::hours(1)};
    std::map<std::string, std::string> m_health;
    std::ostringstream m_out;
    std::ostringstream m_err;

    int run(const std::vector<std::string>& arguments) {
        m_out.str("");
        m_err.str("");
        config_command_hooks hooks;
        hooks.open_store = [this](const endpoint&) { return m_objects.hooks(); };
        hooks.read_health = [this](const endpoint& host) -> result<std::string> {
            const auto found = m_health.find(host.str());
            return found == m_health.end() ? result<std::string>(fail(errc::agent_unreachable, host.str()))
                                           : result<std::string>(found->second);
        };
        hooks.clock = [this] { return m_now; };
        hooks.sleep = [this](milliseconds wait) { m_now += wait; };
        hooks.out = &m_out;
        hooks.err = &m_err;
        return config_command(hooks).run(arguments);
    }
    static std::string file(const std::string& name, const std::string& text) {
        std::string path = testing::TempDir() + "config-command-" + name + ".toml";
        std::ofstream(path) << text;
        return path;
    }
    int apply(const std::string& text, const std::string& env = "trial") {
        return run({"apply", "--env", env, "--store", "127.0.0.1:1", file("apply", text)});
    }
};

// Guards against reported mistakes without a position, error code, field name or expected value.
TEST_F(config_command_fixture, check_of_invalid_document_lists_all_mistakes_and_fails) {
    std::string text = document();
    text.replace(text.find("0.2"), 3, "1.5");
    text += "[extra]\n";
    const std::string path = file("check", text);
    EXPECT_EQ(run({"check", path}), exit_failure);
    EXPECT_THAT(m_out.str(),
                HasSubstr(path + ":5:9: [parsleypitch:206] out of range: ranks.urgent.floor: expected"));
    EXPECT_THAT(m_out.str(), HasSubstr("[parsleypitch:203] unknown key: extra"));
    EXPECT_EQ(run({"check", "--json", path}), exit_failure);
    EXPECT_EQ(nlohmann::json::parse(m_out.str()).at("mistakes").size(), 2U);
    EXPECT_EQ(run({"check", file("check", document())}), exit_success);
}

TEST_F(config_command_fixture, diff_of_files_and_accepted_document_lists_changes) {
    const std::string before = file("before", document(10));
    const std::string after = file("after", document(20));
    EXPECT_EQ(run({"diff", before, after}), exit_success);
    EXPECT_THAT(m_out.str(), HasSubstr("rank urgent changed: worth 10 -> 20"));
    ASSERT_EQ(apply(document(30)), exit_success);
    EXPECT_EQ(run({"diff", "--env", "trial", "--store", "127.0.0.1:1", "--json", after}), exit_success);
    EXPECT_EQ(nlohmann::json::parse(m_out.str()).at("ranks"), nlohmann::json({"urgent"}));
}

// Guards against a promotion that changes the bytes or overwrites the version of a concurrent operator.
TEST_F(config_command_fixture, promote_of_accepted_document_keeps_bytes_and_detects_conflict) {
    ASSERT_EQ(apply(document()), exit_success);
    const std::vector<std::string> promote = {"promote", "--from",      "trial",    "--to", "production",
                                              "--store", "127.0.0.1:1", "--expect", "0",    "--json"};
    EXPECT_EQ(run(promote), exit_success);
    EXPECT_EQ(nlohmann::json::parse(m_out.str()).at("hash"), sha256_hex(document()));
    EXPECT_EQ(run(promote), exit_failure);
    EXPECT_EQ(nlohmann::json::parse(m_out.str()).at("error").at("reason"), "config_raced");
    EXPECT_EQ(run({"show", "--env", "production", "--store", "127.0.0.1:1", "--json"}), exit_success);
    EXPECT_EQ(nlohmann::json::parse(m_out.str()).at("document"), document());
    EXPECT_EQ(run({"show", "--env", "production", "--store", "127.0.0.1:1", "--history"}), exit_success);
    EXPECT_THAT(m_out.str(), HasSubstr("promoted from trial"));
}

// Guards against a wait that exceeds its time-out, or that hides hosts on which the version is not in force.
TEST_F(config_command_fixture, wait_after_four_seconds_lists_hosts_without_version) {
    m_health = {{"10.0.0.1:80", R"({"config_version":1})"}, {"10.0.0.2:80", R"({"config_version":0})"}};
    const time_point started = m_now;
    EXPECT_EQ(run({"apply", "--env", "trial", "--store", "127.0.0.1:1", "--wait",
                   "10.0.0.1:80,10.0.0.2:80,10.0.0.3:80", file("wait", document())}),
              exit_failure);
    EXPECT_EQ(m_now - started, milliseconds(4000));
    EXPECT_THAT(m_err.str(), HasSubstr("in force on 1 of 3 entry hosts"));
    EXPECT_THAT(m_out.str(), HasSubstr("10.0.0.2:80 after 4 s: has version 0"));
    EXPECT_THAT(m_out.str(), HasSubstr("10.0.0.3:80 after 4 s: [parsleypitch:606]"));
}

TEST_F(config_command_fixture, wrong_usage_and_help_return_their_exit_codes) {
    EXPECT_EQ(run({}), exit_usage);
    EXPECT_EQ(run({"check"}), exit_usage);
    EXPECT_EQ(run({"apply", "--env", "trial", "FILE"}), exit_usage);
    EXPECT_EQ(run({"show", "--env", "trial", "--store", "localhost:1"}), exit_usage);
    EXPECT_EQ(run({"check", "--colour", "FILE"}), exit_usage);
    for (const char* name : {"check", "diff", "apply", "promote", "show"}) {
        EXPECT_EQ(run({name, "--help"}), exit_success);
        EXPECT_THAT(m_out.str(), HasSubstr("--json"));
    }
}

} // namespace parsleypitch::cli
