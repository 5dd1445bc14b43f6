#include "lease/lease_codec.hpp"

#include <parsleypitch/http/server.hpp>
#include <parsleypitch/serving/serving_roles.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <mutex>

namespace parsleypitch {

/// In-memory store with one object, shared by several hosts. It can be unreachable or lose answers.
class shared_object {
  public:
    object_handle handle_for(kernel& host) {
        object_handle handle;
        handle.read = [this, &host](bool stale, auto done) {
            note_read(host, stale);
            host.post_control([answer = read(), done] { done(answer); });
        };
        handle.write = [this, &host](const std::string& content, const store_revision& expected, auto done) {
            note_write(host, content);
            host.post_control([answer = write(content, expected), done] { done(answer); });
        };
        return handle;
    }
    result<object_reading> read() {
        const std::lock_guard lock(m_mutex);
        if (m_down) {
            return fail(errc::platform_unreachable, "");
        }
        if (m_revision == 0) {
            return object_reading{std::nullopt, m_era};
        }
        return object_reading{directory_object{object_key("lease"), revision(), m_content}, m_era};
    }
    result<store_revision> write(const std::string& content, const store_revision& expected) {
        const std::lock_guard lock(m_mutex);
        if (m_down) {
            return fail(errc::platform_unreachable, "");
        }
        if (expected.number.value() != m_revision) {
            return fail(errc::version_conflict, "");
        }
        m_content = content;
        ++m_revision;
        if (m_lose_answers > 0) {
            --m_lose_answers;
            return fail(errc::platform_answer_lost, "");
        }
        return revision();
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
        return current && current.value().object
                   ? detail::decode_lease(current.value().object->content).value().holder.id.str()
                   : "";
    }
    /// Acquisitions whose host made another call than a read of the newest state before it.
    int unconfirmed_acquisitions() {
        const std::lock_guard lock(m_mutex);
        return m_unconfirmed_acquisitions;
    }
    void make_copy() {
        const std::lock_guard lock(m_mutex);
        m_copied_content = m_content;
        m_copied_revision = m_revision;
    }
    /// Goes back to the copy and begins a new era.
    void restore() {
        const std::lock_guard lock(m_mutex);
        m_content = m_copied_content;
        m_revision = m_copied_revision;
        m_era = m_era.next();
    }

  private:
    [[nodiscard]] store_revision revision() const { return {m_era, object_version(m_revision)}; }
    void note_read(const kernel& host, bool stale) {
        const std::lock_guard lock(m_mutex);
        m_confirmed[&host] = !stale;
    }
    void note_write(const kernel& host, const std::string& content) {
        const std::lock_guard lock(m_mutex);
        const bool renewal = !m_content.empty() && detail::decode_lease(m_content).value().holder ==
                                                       detail::decode_lease(content).value().holder;
        m_unconfirmed_acquisitions += !renewal && !m_confirmed[&host] ? 1 : 0;
        m_confirmed[&host] = false;
    }

    std::mutex m_mutex;
    std::string m_content;
    std::uint64_t m_revision = 0;
    store_era m_era;
    std::string m_copied_content;
    std::uint64_t m_copied_revision = 0;
    bool m_down = false;
    int m_lose_answers = 0;
    /// Whether the last call of a host was a read of the newest state.
    std::map<const kernel*, bool> m_confirmed;
    int m_unconfirmed_acquisitions = 0;
};

/// Entry hosts with a simulated clock and an engine that records the orders it receives.
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
            [](http::parse_error) { return http::response{}; });
        asio::io_context probe_context;
        asio::ip::tcp::acceptor probe(probe_context, {asio::ip::make_address("127.0.0.1"), 0});
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
        if (m_answers_break_off) {
            exchange->begin(accepted.head);
            exchange->abort();
            return;
        }
        exchange->respond(accepted);
    }
    [[nodiscard]] time_point now() const { return time_point(milliseconds(m_now_ms.load())); }

    void start_host(const std::string& name) {
        running_host host;
        backend_protocol protocol;
        protocol.encode_role_order = [](const role_order& order) {
            return http::request{
                "POST",
                "/",
                {{"holder", order.holder.str()}, {"term", std::to_string(order.term.value())}},
                "",
                true};
        };
        protocol.decode_role_order_response = [](const http::response_head&) {
            return role_order_result::accepted;
        };
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
        host.process->post_control([roles = host.roles, lease_object = m_lease_object.handle_for(
                                                            *host.process)] { roles->open(lease_object); });
        m_hosts[name] = std::move(host);
    }
    void set_engines(const std::string& name, std::size_t total, std::size_t prefill, std::uint64_t born) {
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
    /// Advances the simulated clock in steps and sleeps after each, so that the threads of the hosts can
    /// react.
    void advance(milliseconds time) {
        constexpr milliseconds step{500};
        for (milliseconds elapsed{0}; elapsed < time; elapsed += step) {
            m_now_ms += step.count();
            std::this_thread::sleep_for(milliseconds(300)); // longer than the tick period of serving_roles
        }
    }
    /// Advances the simulated clock until the engine has received this many orders. The hosts tick in real
    /// time, so on a busy machine more simulated time elapses between two ticks.
    void advance_until_orders(std::size_t count) {
        constexpr milliseconds limit{60'000};
        for (milliseconds elapsed{0}; elapsed < limit && orders().size() < count;
             elapsed += milliseconds(500)) {
            advance(milliseconds(500));
        }
    }
    std::vector<received_order> orders() {
        const std::lock_guard lock(m_mutex);
        return m_orders;
    }

    shared_object m_lease_object;
    std::atomic<std::int64_t> m_now_ms{1'000'000};
    asio::io_context m_engine_context;
    std::unique_ptr<http::server> m_engine;
    endpoint m_address;
    std::thread m_engine_thread;
    std::mutex m_mutex;
    std::vector<received_order> m_orders;
    std::atomic<bool> m_answers_break_off = false;
    std::map<std::string, running_host> m_hosts;
};

// Guards against a fleet in which no host sends orders, or two hosts do.
TEST_F(serving_roles_fixture, first_term_with_two_hosts_is_held_by_one_that_sends_orders) {
    start_host("a");
    start_host("b");
    advance(milliseconds(1000));
    set_engines("a", 4, 0, 1);
    set_engines("b", 4, 0, 1);
    advance_until_orders(2);
    const auto sent = orders();
    ASSERT_EQ(sent.size(), 2U);
    for (const received_order& order : sent) {
        EXPECT_EQ(order.holder, m_lease_object.holder());
        EXPECT_EQ(order.term, 1U);
    }
}

// Guards against an order that counts as accepted although its answer broke off.
TEST_F(serving_roles_fixture, order_whose_answer_breaks_off_is_not_counted_as_accepted) {
    m_answers_break_off = true;
    start_host("a");
    advance(milliseconds(1000));
    set_engines("a", 4, 0, 1);
    advance_until_orders(1);
    ASSERT_FALSE(orders().empty());
    advance(milliseconds(500));
    const auto metrics = m_hosts["a"].process->find<metrics_registry>(metrics_service_name());
    EXPECT_EQ(metrics.value()->counter(metric_name("parsleypitch_orders_total"), {{"accepted", "1"}}), 0U);
    EXPECT_GT(metrics.value()->counter(metric_name("parsleypitch_broken_responses_total"),
                                       {{"reason", "incomplete"}}),
              0U);
}

// Guards against orders of two successive holders that are closer together than the platform allows.
TEST_F(serving_roles_fixture, next_holder_after_a_stop_waits_for_the_holder_pause) {
    start_host("a");
    advance(milliseconds(1000));
    set_engines("a", 4, 0, 1);
    advance_until_orders(2);
    const auto before = orders();
    ASSERT_EQ(before.size(), 2U);
    m_hosts["a"].process->stop();
    const time_point stopped = now();
    start_host("b");
    set_engines("b", 4, 0, 2);
    advance(milliseconds(6000));
    EXPECT_EQ(orders().size(), 2U);
    advance_until_orders(4);
    const auto after = orders();
    ASSERT_EQ(after.size(), 4U);
    EXPECT_EQ(after.back().holder, "b");
    EXPECT_EQ(after.back().term, 2U);
    EXPECT_GE(after[2].at - stopped, milliseconds(3000));
}

// Guards against a host with an old view that takes the lease from a holder of a later era: the store may
// have given out again the revision that the host has read last.
TEST_F(serving_roles_fixture, candidate_of_an_expired_lease_reads_it_anew_before_it_writes) {
    start_host("a");
    start_host("b");
    advance(milliseconds(1000));
    const std::string first = m_lease_object.holder();
    ASSERT_NE(first, "");
    m_hosts[first].process->stop();
    const std::string second = first == "a" ? "b" : "a";
    for (int step = 0; step < 40 && m_lease_object.holder() != second; ++step) {
        advance(milliseconds(500));
    }
    EXPECT_EQ(m_lease_object.holder(), second);
    EXPECT_EQ(m_lease_object.unconfirmed_acquisitions(), 0);
}

// Guards against orders of a holder that cannot renew its lease.
TEST_F(serving_roles_fixture, holder_without_the_store_sends_no_orders_after_its_lease) {
    start_host("a");
    advance(milliseconds(1500));
    m_lease_object.set_down(true);
    advance(milliseconds(6500));
    set_engines("a", 4, 0, 1);
    advance(milliseconds(2500));
    EXPECT_TRUE(orders().empty());
}

// Guards against a host that takes the lease for acquired although the answer to its write was lost.
TEST_F(serving_roles_fixture, lost_answer_to_the_first_write_leads_to_the_second_term_after_its_pause) {
    m_lease_object.lose_answers(1);
    start_host("a");
    advance(milliseconds(500));
    set_engines("a", 4, 0, 1);
    advance(milliseconds(2500));
    EXPECT_TRUE(orders().empty());
    advance_until_orders(2);
    const auto sent = orders();
    ASSERT_EQ(sent.size(), 2U);
    EXPECT_EQ(sent.front().term, 2U);
}

// Guards against roles that nobody changes any more: after a restore every host wrote the lease in vain.
TEST_F(serving_roles_fixture, holder_after_a_restore_sends_orders_with_a_higher_term) {
    start_host("a");
    start_host("b");
    advance(milliseconds(1000));
    set_engines("a", 4, 0, 1);
    set_engines("b", 4, 0, 1);
    advance_until_orders(2);
    const auto before = orders();
    ASSERT_EQ(before.size(), 2U);
    m_lease_object.make_copy();
    advance(milliseconds(4500)); // the holder renews its lease
    m_lease_object.restore();
    set_engines("a", 4, 0, 2);
    set_engines("b", 4, 0, 2);
    advance_until_orders(4);
    const auto after = orders();
    ASSERT_EQ(after.size(), 4U);
    EXPECT_EQ(after.back().holder, m_lease_object.holder());
    EXPECT_GT(after.back().term, before.back().term);
    EXPECT_EQ(after[2].term, after[3].term);
}

} // namespace parsleypitch
