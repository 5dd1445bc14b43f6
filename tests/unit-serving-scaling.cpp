#include "serving/engine_demand_codec.hpp"

#include <parsleypitch/http/server.hpp>
#include <parsleypitch/serving/serving_scaling.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <atomic>
#include <future>
#include <mutex>
#include <thread>

namespace parsleypitch {

/// A lease holder with two engines of a service, another host, and a service that takes scaling orders.
class serving_scaling_fixture : public testing::Test {
  protected:
    struct received_order {
        std::string service;
        std::string zone;
        std::uint64_t desired;
        std::string holder;
        std::uint64_t term;
    };

    void SetUp() override {
        m_orders_server = std::make_unique<http::server>(
            m_orders_context, [this](const auto& exchange) { record(exchange); },
            [](http::parse_error) { return http::response{}; });
        m_duty_service = endpoint("127.0.0.1:" + free_port());
        ASSERT_TRUE(m_orders_server->listen(m_duty_service));
        m_orders_thread = std::thread([this] { m_orders_context.run(); });
        m_report_port = free_port();
        m_call_port = free_port();
        start_other_host();
        start_holder();
    }
    void TearDown() override {
        m_holder.stop();
        m_other.stop();
        m_orders_context.stop();
        m_orders_thread.join();
    }

    static std::string free_port() {
        asio::io_context context;
        asio::ip::tcp::acceptor probe(context, {asio::ip::make_address("127.0.0.1"), 0});
        return std::to_string(probe.local_endpoint().port());
    }

    void record(const std::shared_ptr<http::exchange>& exchange) {
        const std::lock_guard lock(m_mutex);
        const auto& headers = exchange->message().headers;
        m_orders.push_back({*headers.find("service"), *headers.find("zone"),
                            std::stoull(*headers.find("desired")), *headers.find("holder"),
                            std::stoull(*headers.find("term"))});
        if (m_mute) {
            m_unanswered.push_back(exchange);
            return;
        }
        if (m_broken_answers > 0) {
            --m_broken_answers;
            http::response_head head;
            head.status = 200;
            exchange->begin(head);
            exchange->abort();
            return;
        }
        http::response answer;
        answer.head.status = m_refusals > 0 ? 429 : 200;
        m_refusals -= m_refusals > 0 ? 1 : 0;
        exchange->respond(answer);
    }

    /// The other host only answers queries, with the engine time of `m_demand` engines in zone b.
    void start_other_host() {
        ASSERT_TRUE(m_other.add(std::make_shared<event_log>(event_log_options{.descriptor = -1})));
        m_other_calls = std::make_shared<peer_calls>(endpoint("127.0.0.2:" + m_call_port));
        m_other_calls->on_call("/engine-demand", [this](const std::string&) -> std::optional<std::string> {
            ++m_queries;
            engine_demand answer;
            answer.born = incarnation(1);
            answer.at = std::chrono::steady_clock::now().time_since_epoch();
            answer.used[{backend_service_id("m"), availability_zone_id("b")}] =
                from_seconds(to_seconds(answer.at) * m_demand);
            return m_garbled ? "{\"born\":" : detail::encode_engine_demand(answer);
        });
        ASSERT_TRUE(m_other.add(m_other_calls));
        ASSERT_TRUE(m_other.start());
    }

    void start_holder() {
        serve_settings settings;
        settings.callers = endpoint("127.0.0.1:0");
        settings.readiness = endpoint("127.0.0.1:0");
        settings.peers = endpoint("127.0.0.1:" + m_report_port);
        backend_protocol protocol;
        protocol.encode_scaling_order = [](const scaling_order& order) {
            return http::request{"POST",
                                 "/",
                                 {{"service", order.service.str()},
                                  {"zone", order.zone.str()},
                                  {"desired", std::to_string(order.desired)},
                                  {"holder", order.holder.str()},
                                  {"term", std::to_string(order.term.value())}},
                                 "",
                                 true};
        };
        const lease_timing timing{milliseconds(1500), milliseconds(400), milliseconds(300),
                                  milliseconds(400)};
        m_traffic = std::make_shared<serving_traffic>(settings, incarnation(7), backend_protocol{});
        m_roles = std::make_shared<serving_roles>(lease_holder{entry_host_id("a"), incarnation(1)}, protocol,
                                                  milliseconds(0), steady_clock_hook(), false, timing);
        m_scaling = std::make_shared<serving_scaling>(entry_host_id("a"), m_duty_service, protocol,
                                                      steady_clock_hook());
        const std::vector<std::shared_ptr<service>> services = {
            std::make_shared<event_log>(event_log_options{.descriptor = -1}),
            std::make_shared<metrics_registry>(),
            m_traffic,
            std::make_shared<peer_calls>(endpoint("127.0.0.1:" + m_call_port)),
            m_roles,
            m_scaling};
        for (const auto& each : services) {
            ASSERT_TRUE(m_holder.add(each));
        }
        ASSERT_TRUE(m_holder.start());
        m_traffic->add_peers({endpoint("127.0.0.2:" + m_report_port)});
        m_holder.post_control([this] { m_roles->open(lease_object()); });
    }

    /// The store keeps one object in memory; it can be down.
    object_handle lease_object() {
        object_handle handle;
        handle.read = [this](bool, auto done) {
            m_holder.post_control([this, done] {
                if (m_store_down) {
                    done(fail(errc::platform_unreachable, ""));
                } else if (m_lease_revision == 0) {
                    done(object_reading{std::nullopt, store_era()});
                } else {
                    done(object_reading{
                        directory_object{object_key("lease"), lease_revision(), m_lease_content}, {}});
                }
            });
        };
        handle.write = [this](const std::string& content, const store_revision& expected, auto done) {
            m_holder.post_control([this, content, expected, done] {
                if (m_store_down) {
                    done(fail(errc::platform_unreachable, ""));
                } else if (expected.number.value() != m_lease_revision) {
                    done(fail(errc::version_conflict, ""));
                } else {
                    m_lease_content = content;
                    ++m_lease_revision;
                    done(lease_revision());
                }
            });
        };
        return handle;
    }
    [[nodiscard]] store_revision lease_revision() const {
        return {store_era(), object_version(m_lease_revision)};
    }

    /// Two engines exist in zone b, and the configuration has these limits.
    void configure(std::uint64_t min, std::uint64_t max) {
        std::vector<backend_server_entry> servers(2);
        for (backend_server_entry& each : servers) {
            each.service = backend_service_id("m");
            each.zone = availability_zone_id("b");
        }
        backend_service scaled;
        scaled.id = backend_service_id("m");
        scaled.scaling = scaling_limits{min, max, seconds(30)};
        auto routes = std::make_shared<const route_table>(config_version(1), std::vector<route>{},
                                                          std::vector{scaled}, caller_limits{});
        m_holder.post_control([this, servers, routes] {
            m_scaling->observe(servers);
            m_scaling->adopt(routes->scaling());
            m_traffic->adopt(routes);
        });
    }
    std::vector<received_order> orders() {
        const std::lock_guard lock(m_mutex);
        return m_orders;
    }
    template <class Condition>
    static bool eventually(Condition holds) {
        constexpr milliseconds step{20};
        for (milliseconds waited{0}; waited < seconds(20); waited += step) {
            if (holds()) {
                return true;
            }
            std::this_thread::sleep_for(step);
        }
        return false;
    }

    asio::io_context m_orders_context;
    std::unique_ptr<http::server> m_orders_server;
    std::thread m_orders_thread;
    std::mutex m_mutex;
    std::vector<received_order> m_orders;
    std::vector<std::shared_ptr<http::exchange>> m_unanswered;
    int m_refusals = 0;
    int m_broken_answers = 0;
    std::atomic<bool> m_mute = false;
    std::atomic<double> m_demand = 0;
    std::atomic<bool> m_garbled = false;
    std::atomic<int> m_queries = 0;
    std::atomic<bool> m_store_down = false;
    std::string m_lease_content;
    std::atomic<std::uint64_t> m_lease_revision = 0;
    endpoint m_duty_service;
    std::string m_report_port;
    std::string m_call_port;
    kernel m_other{0};
    std::shared_ptr<peer_calls> m_other_calls;
    kernel m_holder{0};
    std::shared_ptr<serving_traffic> m_traffic;
    std::shared_ptr<serving_roles> m_roles;
    std::shared_ptr<serving_scaling> m_scaling;
};

// Guards against demand of other hosts that is not counted, and orders without the holder or its term.
TEST_F(serving_scaling_fixture, demand_of_another_host_is_ordered_under_the_term) {
    m_demand = 3;
    configure(1, 12);
    ASSERT_TRUE(eventually([this] { return !orders().empty(); }));
    const received_order first = orders().front();
    EXPECT_EQ(first.service, "m");
    EXPECT_EQ(first.zone, "b");
    EXPECT_GE(first.desired, 4U); // 5, unless the first two answers were delayed
    EXPECT_LE(first.desired, 6U);
    EXPECT_EQ(first.holder, "a");
    EXPECT_EQ(first.term, 1U);
}

// Guards against orders that are lost because the service was busy.
TEST_F(serving_scaling_fixture, order_that_is_refused_is_sent_again) {
    m_refusals = 1;
    configure(5, 12);
    ASSERT_TRUE(eventually([this] { return orders().size() == 2; }));
    EXPECT_EQ(orders().front().desired, 5U);
    EXPECT_EQ(orders().back().desired, 5U);
}

// Guards against an order that counts as accepted although its answer broke off.
TEST_F(serving_scaling_fixture, order_whose_answer_breaks_off_is_not_counted_as_accepted) {
    m_broken_answers = 1;
    configure(5, 12);
    const auto metrics = m_holder.find<metrics_registry>(metrics_service_name()).value();
    const metric_name answered("parsleypitch_scaling_orders_total");
    ASSERT_TRUE(eventually([&] { return metrics->counter(answered, {{"accepted", "0"}}) == 1; }));
    EXPECT_EQ(
        metrics->counter(metric_name("parsleypitch_broken_responses_total"), {{"reason", "incomplete"}}), 1U);
}

// Guards against queries and orders in deployments without scaling limits.
TEST_F(serving_scaling_fixture, holder_without_scaling_limits_asks_and_orders_nothing) {
    std::this_thread::sleep_for(seconds(3));
    EXPECT_EQ(m_queries, 0);
    EXPECT_TRUE(orders().empty());
    EXPECT_TRUE(eventually([this] { return m_lease_revision > 0; })); // it was the holder
}

// Guards against orders of a host whose lease has ended, also of those that still wait for an answer.
TEST_F(serving_scaling_fixture, holder_without_the_store_orders_nothing_after_its_lease) {
    m_mute = true;
    configure(5, 12);
    ASSERT_TRUE(eventually([this] { return !orders().empty(); }));
    m_store_down = true;
    std::this_thread::sleep_for(seconds(2));
    const std::size_t before = orders().size();
    std::this_thread::sleep_for(seconds(3));
    EXPECT_EQ(orders().size(), before);
    m_store_down = false;
    m_mute = false;
    ASSERT_TRUE(eventually([this, before] { return orders().size() > before; }));
    EXPECT_GT(orders().back().term, 1U);
}

// Guards against answers that can't be read and end the process or count as demand.
TEST_F(serving_scaling_fixture, unreadable_answers_are_ignored) {
    m_garbled = true;
    m_demand = 3;
    configure(1, 12);
    ASSERT_TRUE(eventually([this] { return m_queries >= 3; }));
    EXPECT_TRUE(orders().empty());
}

// Guards against a host that does not tell the holder what it has started.
TEST_F(serving_scaling_fixture, host_answers_with_its_start_and_time) {
    const auto query = [this] {
        std::promise<result<std::string>> answer;
        m_other.post_control([this, &answer] {
            m_other_calls->call(endpoint("127.0.0.1:" + m_report_port), "/engine-demand", "{}", seconds(1),
                                [&answer](result<std::string> body) { answer.set_value(std::move(body)); });
        });
        return answer.get_future().get();
    };
    EXPECT_FALSE(query());
    configure(1, 12);
    result<std::string> body = fail(errc::object_not_found, "");
    ASSERT_TRUE(eventually([&] { return static_cast<bool>(body = query()); }));
    const auto demand = detail::decode_engine_demand(body.value());
    ASSERT_TRUE(demand);
    EXPECT_EQ(demand.value().born, incarnation(7));
    EXPECT_GT(demand.value().at, duration::zero());
}

class engine_demand_codec_fixture : public testing::Test {};

// Guards against demand that changes on its way.
TEST_F(engine_demand_codec_fixture, decode_of_an_encoded_answer_returns_it) {
    engine_demand demand;
    demand.born = incarnation(1'796'370'889'183'234);
    demand.at = milliseconds(91'250);
    demand.used[{backend_service_id("m"), availability_zone_id("a")}] = milliseconds(1500);
    demand.used[{backend_service_id("m"), availability_zone_id("b")}] = milliseconds(20);
    demand.held[backend_service_id("m")] = 3;
    const auto decoded = detail::decode_engine_demand(detail::encode_engine_demand(demand));
    ASSERT_TRUE(decoded) << to_string(decoded.error());
    EXPECT_EQ(decoded.value().born, demand.born);
    EXPECT_EQ(decoded.value().at, demand.at);
    EXPECT_EQ(decoded.value().used, demand.used);
    EXPECT_EQ(decoded.value().held, demand.held);
}

// Guards against answers in part, negative times and times that leave the range of a duration.
TEST_F(engine_demand_codec_fixture, decode_of_an_invalid_answer_fails) {
    for (const char* invalid :
         {"", "[]", "{}", R"({"born":1,"at_ms":-1,"used":[],"held":[]})",
          R"({"born":1,"at_ms":1e300,"used":[],"held":[]})",
          R"({"born":1,"at_ms":1,"used":[{"service":"m","zone":"a","ms":"1"}],"held":[]})",
          R"({"born":1,"at_ms":1,"used":[{"service":"","zone":"a","ms":1}],"held":[]})",
          R"({"born":1,"at_ms":1,"used":[],"held":[{"service":"m","count":-1}]})"}) {
        EXPECT_FALSE(detail::decode_engine_demand(invalid)) << invalid;
    }
}

// Guards against crashes on arbitrary bytes from the network.
RC_GTEST_FIXTURE_PROP(engine_demand_codec_fixture, decoder_of_any_bytes_returns, (const std::string& bytes)) {
    (void)detail::decode_engine_demand(bytes);
}

} // namespace parsleypitch
