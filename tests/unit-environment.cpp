#include "config_documents.hpp"

#include <parsleypitch/environment/environment_diff.hpp>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace parsleypitch {

class environment_fixture : public testing::Test {
  protected:
    static std::vector<std::string> mistakes_of(const std::string& text) {
        std::vector<std::string> lines_and_reasons;
        for (const document_mistake& mistake : parse_environment(text).mistakes) {
            lines_and_reasons.push_back(std::to_string(mistake.line) + " " + reason_name(mistake.what.code));
        }
        return lines_and_reasons;
    }
    static std::string replaced(std::string text, const std::string& from, const std::string& to) {
        return text.replace(text.find(from), from.size(), to);
    }
};

TEST_F(environment_fixture, valid_document_has_no_mistakes) {
    EXPECT_TRUE(mistakes_of(document()).empty());
}

// Guards against a check that stops at the first mistake, so that an operator has to run it once for each.
TEST_F(environment_fixture, document_with_many_mistakes_reports_all_with_line_numbers) {
    std::string text = replaced(document(), "version = \"1\"", "version = 1");
    text = replaced(text, "zone = \"z2\"", "zone = \"z9\"");
    text = replaced(text, "service = \"stock\"", "service = \"shop\"");
    text = replaced(text, "floor = 0.2", "floor = 1.5");
    text = replaced(text, "region = ", "regoin = ");
    EXPECT_THAT(mistakes_of(text),
                testing::ElementsAre("5 out_of_range", "12 unknown_key", "15 wrong_type",
                                     "24 unresolved_reference", "25 unresolved_reference"));
}

// Guards against a mistake that is reported at line 0, which does not exist in an editor.
TEST_F(environment_fixture, empty_document_reports_missing_tables_at_its_start) {
    EXPECT_THAT(mistakes_of(""), testing::Each("1 missing_key"));
    EXPECT_FALSE(mistakes_of("").empty());
}

// Guards against names that change the structure of object keys and URLs, and against two accounts with one
// key.
TEST_F(environment_fixture, invalid_names_and_duplicate_keys_are_refused) {
    const std::string shared_key = replaced(document(), sha256_hex("c1"), sha256_hex("c0"));
    EXPECT_THAT(mistakes_of(shared_key), testing::ElementsAre(testing::HasSubstr("duplicate_entry")));
    EXPECT_THAT(mistakes_of(replaced(document(), "adapters = [\"a\"]", "adapters = [\"a\", \"a\", \"\"]")),
                testing::ElementsAre("16 duplicate_entry", "16 out_of_range"));
    EXPECT_THAT(mistakes_of(replaced(document(), "\"trial\"", "\"tri/al\"")),
                testing::ElementsAre("2 out_of_range"));
}

// Guards against a change that is missing from the preview that an operator sees before applying a document.
TEST_F(environment_fixture, diff_of_two_documents_describes_each_change) {
    const environment before = parse_environment(document()).value;
    environment after = before;
    after.ranks[index_of(rank::urgent)].worth = 20;
    after.models.front().version = model_version("2");
    after.models.front().adapters = {adapter_id("b")};
    after.plain_services.front().operations.front().repeatable = true;
    after.backend_servers.front().zone = availability_zone_id("z1");
    after.accounts.pop_back();
    const environment_diff diff = diff_environments(
        before, after, [](const backend_server_id&) { return std::optional(request_count(7)); });
    EXPECT_EQ(diff.models.front().engines, 1U);
    EXPECT_THAT(
        describe(diff),
        testing::ElementsAre(
            "rank urgent changed: worth 10 -> 20",
            "model m1 changed: version 1 -> 2, adapter b added, adapter a removed, 1 engines affected",
            "service stock operation hold changed: may be repeated no -> yes",
            "zone z1 backend server b2 changed: zone z2 -> z1", "account c1 removed",
            "affected: 1 engines, 7 live streams"));
}

TEST_F(environment_fixture, diff_of_equal_documents_is_empty) {
    const environment value = parse_environment(document()).value;
    EXPECT_TRUE(diff_environments(value, value).empty());
    EXPECT_THAT(describe(diff_environments(value, value)), testing::ElementsAre("no differences"));
}

} // namespace parsleypitch
