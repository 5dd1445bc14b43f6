#include "lease/lease_codec.hpp"

#include <parsleypitch/http/server.hpp>
#include <parsleypitch/serving/serving_roles.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <mutex>

namespace parsleypitch {

/// One object of a store, shared by several hosts, whose answers can be lost.
class shared_slot {
  public:
    object_handle hooks_for(kernel& host) {
        object_handle slot;
        slot.read = [this, &host](bool, auto done) {
            host.post_control([answer = read(), done] { done(answer); });
        };
        slot.write = [this, &host](const std::string& content, object_version expected, auto done) {
            host.post_control([answer = write(content, expected), done] { done(answer); });
        };
        return slot;
    }
    result<directory_object> read() {
        const std::lock_guard lock(m_mutex);
        if (m_down) {
            return fail(errc::platform_unreachable, "");
        }
        if (m_revision == 0) {
            return fail(errc::object_not_found, "");
        }
        return directory_object{object_key("lease"), object_version(m_revision), m_content};
    }
    result<object_version> write(const std::string& content, object_version expected) {
        const std::lock_guard lock(m_mutex);
        if (m_down) {
            return fail(errc::platform_unreachable, "");
        }
        if (expected.value() != m_revision) {
            return fail(errc::version_conflict, "");
        }
        m_content = content;
        ++m_revision;
        if (m_lose_answers > 0) {
            --m_lose_answers;
            return fail(errc::platform_answer_lost, "");
        }
        return object_version(m_revision);
    }
    void set_down(bool down) {
        const std::lock_guard lock(m_mutex);
        m_down = down;
    }
    void lose_answers(int count) {
        const std::lock_guard lock(m_mutex);
        m_lose_answers = count;
    }
    std::string holder() {
        const auto current = read();
        return current ? detail::decode_lease(current.value().content).value().holder.id.str() : "";
    }

  private:
    std::mutex m_mutex;
    std::string m_content;
    std::uint64_t m_revision = 0;
    bool m_down = false;
    int m_lose_answers = 0;
};

/// Hosts with a manual clock, and an engine that records the orders that it gets.
class serving_roles_fixture : public testing::Test {
  protected:
    struct received_order {
        std::string holder;
        std::uint64_t term;
        time_point at;
    };
    struct running_host {
        std::unique_ptr<kernel> process = std::make_unique<kernel>(0);
        std::shared_ptr<serving_roles> roles;
    };

    void SetUp() override {
        m_engine = std::make_unique<http::server>(
            m_engine_context, [this](const auto& exchange) { record(exchange); },
            [](http::parse_fault) { return http::response{}; });
        asio::io_context probing;
        asio::ip::tcp::acceptor probe(probing, {asio::ip::make_address("127.0.0.1"), 0});
        m_address = endpoint("127.0.0.1:" + std::to_string(probe.local_endpoint().port()));
        probe.close();
        ASSERT_TRUE(m_engine->listen(m_address));
        m_engine_thread = std::thread([this] { m_engine_context.run(); });
    }
    void TearDown() override {
        for (auto& [name, each] : m_hosts) {
            each.process->stop();
        }
        m_engine_context.stop();
        m_engine_thread.join();
    }

    void record(const std::shared_ptr<http::exchange>& exchange) {
        const std::lock_guard lock(m_mutex);
        const auto& headers = exchange->message().headers;
        m_orders.push_back({*headers.find("holder"), std::stoull(*headers.find("term")), now()});
        http::response accepted;
        accepted.head.status = 202;
        exchange->respond(accepted);
    }
    [[nodiscard]] time_point now() const { return time_point(milliseconds(m_now_ms.load())); }

    void start_host(const std::string& name) {
        running_host host;
        backend_protocol protocol;
        protocol.encode_order = [](const role_order& order) {
            return http::request{
                "POST",
                "/",
                {{"holder", order.holder.str()}, {"term", std::to_string(order.term.value())}},
                "",
                true};
        };
        protocol.decode_order_answer = [](const http::response_head&) { return order_answer::accepted; };
        host.roles = std::make_shared<serving_roles>(lease_holder{entry_host_id(name), incarnation(1)},
                                                     protocol, milliseconds(3000), [this] { return now(); });
        serve_settings settings;
        ASSERT_TRUE(host.process->add(std::make_shared<event_log>(event_log_options{.descriptor = -1})));
        ASSERT_TRUE(host.process->add(std::make_shared<metrics_registry>()));
        settings.callers = endpoint("127.0.0.1:0");
        settings.readiness = endpoint("127.0.0.1:0");
        ASSERT_TRUE(host.process->add(
            std::make_shared<serving_traffic>(settings, incarnation(1), backend_protocol{})));
        ASSERT_TRUE(host.process->add(host.roles));
        ASSERT_TRUE(host.process->start());
        host.process->post_control(
            [roles = host.roles, slot = m_slot.hooks_for(*host.process)] { roles->open(slot); });
        m_hosts[name] = std::move(host);
    }
    void show_engines(const std::string& name, std::size_t total, std::size_t prefill, std::uint64_t born) {
        std::vector<backend_server_entry> engines;
        for (std::size_t i = 0; i < total; ++i) {
            backend_server_entry engine;
            engine.id = backend_server_id("e" + std::to_string(i));
            engine.service = backend_service_id("m");
            engine.born = incarnation(born);
            engine.address = m_address;
            engine.role = i < prefill ? engine_role::prefill : engine_role::decode;
            engines.push_back(engine);
        }
        m_hosts[name].process->post_control(
            [roles = m_hosts[name].roles, engines] { roles->observe(engines); });
    }
    /// Lets simulated time pass in steps, with real time for the threads to act.
    void pass(milliseconds time) {
        constexpr milliseconds step{500};
        for (milliseconds passed{0}; passed < time; passed += step) {
            m_now_ms += step.count();
            std::this_thread::sleep_for(milliseconds(300)); // longer than the period of the checks
        }
    }
    /// Lets time pass until so many orders were received; the checks of the hosts run in real time, so that
    /// on a busy machine more simulated time passes between them.
    void pass_until_orders(std::size_t count) {
        constexpr milliseconds longest{60'000};
        for (milliseconds passed{0}; passed < longest && orders().size() < count;
             passed += milliseconds(500)) {
            pass(milliseconds(500));
        }
    }
    std::vector<received_order> orders() {
        const std::lock_guard lock(m_mutex);
        return m_orders;
    }

    shared_slot m_slot;
    std::atomic<std::int64_t> m_now_ms{1'000'000};
    asio::io_context m_engine_context;
    std::unique_ptr<http::server> m_engine;
    endpoint m_address;
    std::thread m_engine_thread;
    std::mutex m_mutex;
    std::vector<received_order> m_orders;
    std::map<std::string, running_host> m_hosts;
};

// Guards against a fleet in which nobody gives orders, and against two that do.
TEST_F(serving_roles_fixture, one_of_two_hosts_acquires_the_first_term_and_orders) {
    start_host("a");
    start_host("b");
    pass(milliseconds(1000));
    show_engines("a", 4, 0, 1);
    show_engines("b", 4, 0, 1);
    pass_until_orders(2);
    const auto given = orders();
    ASSERT_EQ(given.size(), 2U);
    for (const received_order& order : given) {
        EXPECT_EQ(order.holder, m_slot.holder());
        EXPECT_EQ(order.term, 1U);
    }
}

// Guards against orders of two holders that are closer than the platform allows, after the store was away.
TEST_F(serving_roles_fixture, next_holder_orders_only_long_after_the_last_order_of_the_first) {
    start_host("a");
    pass(milliseconds(1000));
    show_engines("a", 4, 0, 1);
    pass_until_orders(2);
    const auto before = orders();
    ASSERT_EQ(before.size(), 2U);
    m_hosts["a"].process->stop();
    const time_point stopped = now();
    start_host("b");
    show_engines("b", 4, 0, 2);
    pass(milliseconds(6000));
    EXPECT_EQ(orders().size(), 2U);
    pass_until_orders(4);
    const auto after = orders();
    ASSERT_EQ(after.size(), 4U);
    EXPECT_EQ(after.back().holder, "b");
    EXPECT_EQ(after.back().term, 2U);
    EXPECT_GE(after[2].at - stopped, milliseconds(3000));
}

// Guards against orders of a holder that can't renew its lease.
TEST_F(serving_roles_fixture, holder_without_the_store_stops_to_order_when_its_lease_ends) {
    start_host("a");
    pass(milliseconds(1500));
    m_slot.set_down(true);
    pass(milliseconds(6500));
    show_engines("a", 4, 0, 1);
    pass(milliseconds(2500));
    EXPECT_TRUE(orders().empty());
}

// Guards against a holder that takes a lost answer for a term that it holds.
TEST_F(serving_roles_fixture, lost_answer_to_the_first_write_leads_to_a_later_term_with_its_pause) {
    m_slot.lose_answers(1);
    start_host("a");
    pass(milliseconds(500));
    show_engines("a", 4, 0, 1);
    pass(milliseconds(2500));
    EXPECT_TRUE(orders().empty());
    pass_until_orders(2);
    const auto given = orders();
    ASSERT_EQ(given.size(), 2U);
    EXPECT_EQ(given.front().term, 2U);
}

} // namespace parsleypitch
