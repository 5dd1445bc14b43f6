#include <parsleypitch/forwarding/route_table.hpp>

#include <gtest/gtest.h>

namespace parsleypitch {

class route_table_fixture : public testing::Test {
  protected:
    static route make_route(const std::string& id, const std::string& host, const std::string& prefix) {
        route made;
        made.id = route_id(id);
        made.host = host;
        made.path_prefix = prefix;
        return made;
    }
    [[nodiscard]] std::string matched(std::string_view host, std::string_view path) const {
        const route* found = m_table.match(host, path);
        return found == nullptr ? "" : found->id.str();
    }

    route_table m_table{config_version(3),
                        {make_route("short", "one.example", "/a/"),
                         make_route("long", "one.example", "/a/b/"),
                         make_route("other", "two.example", "/a/")},
                        {},
                        {}};
};

// Guards against a general route that takes precedence over a more specific one.
TEST_F(route_table_fixture, match_prefers_the_longest_prefix) {
    EXPECT_EQ(matched("one.example", "/a/b/c"), "long");
    EXPECT_EQ(matched("one.example", "/a/bc"), "short");
}

// Guards against matching the route of another host, or a path that only shares leading characters.
TEST_F(route_table_fixture, match_of_another_host_or_path_finds_nothing) {
    EXPECT_EQ(matched("two.example", "/a/b/c"), "other");
    EXPECT_EQ(matched("One.Example", "/a/x"), "short");
    EXPECT_EQ(matched("three.example", "/a/"), "");
    EXPECT_EQ(matched("one.example", "/ab"), "");
    EXPECT_EQ(matched("one.example", "/a"), "");
}

// Guards against a traffic split that does not follow its weights.
TEST_F(route_table_fixture, draw_service_follows_the_weights) {
    route split = make_route("split", "h", "/");
    split.services = {
        {backend_service_id("x"), 90}, {backend_service_id("none"), 0}, {backend_service_id("y"), 10}};
    const auto drawn = [&split](std::uint64_t number) {
        const backend_service_id* service = draw_service(split, [number](std::uint64_t bound) {
            EXPECT_EQ(bound, 100U);
            return number;
        });
        return service == nullptr ? std::string() : service->str();
    };
    EXPECT_EQ(drawn(0), "x");
    EXPECT_EQ(drawn(89), "x");
    EXPECT_EQ(drawn(90), "y");
    EXPECT_EQ(drawn(99), "y");
}

// Guards against a crash on a route without services.
TEST_F(route_table_fixture, draw_service_of_a_route_without_services_returns_null) {
    EXPECT_EQ(draw_service(make_route("none", "h", "/"), [](std::uint64_t) { return 0; }), nullptr);
}

} // namespace parsleypitch
