#include <parsleypitch/kernel/kernel.hpp>

#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace parsleypitch {

/// Records the calls of the kernel in a list that all services of a test share.
class recording_service final : public service {
  public:
    recording_service(std::string name, std::vector<std::string>& calls, bool fails = false)
        : m_name(std::move(name)), m_calls(calls), m_fails(fails) {}

    [[nodiscard]] service_name name() const override { return service_name(m_name); }
    [[nodiscard]] result<void> start(kernel&) override {
        m_calls.push_back("start " + m_name);
        if (m_fails) {
            return fail(errc::bind_failed, m_name);
        }
        return success();
    }
    void drain() override { m_calls.push_back("drain " + m_name); }
    void stop() override { m_calls.push_back("stop " + m_name); }

  private:
    std::string m_name;
    std::vector<std::string>& m_calls;
    bool m_fails;
};

class other_service final : public service {
  public:
    [[nodiscard]] service_name name() const override { return service_name("other"); }
    [[nodiscard]] result<void> start(kernel&) override { return success(); }
};

class kernel_fixture : public testing::Test {
  protected:
    std::vector<std::string> m_calls;
    kernel m_kernel{1};
};

// Guards against a service that is stopped before the services that were started after it and may use it.
TEST_F(kernel_fixture, services_are_started_in_order_and_drained_and_stopped_in_reverse) {
    ASSERT_TRUE(m_kernel.add(std::make_shared<recording_service>("a", m_calls)));
    ASSERT_TRUE(m_kernel.add(std::make_shared<recording_service>("b", m_calls)));
    ASSERT_TRUE(m_kernel.start());
    m_kernel.drain();
    m_kernel.stop();
    const std::vector<std::string> expected = {"start a", "start b", "drain b",
                                               "drain a", "stop b",  "stop a"};
    EXPECT_EQ(m_calls, expected);
}

// Guards against services whose threads keep running after another service failed to start.
TEST_F(kernel_fixture, start_with_a_failing_service_stops_the_services_started_before_it) {
    ASSERT_TRUE(m_kernel.add(std::make_shared<recording_service>("a", m_calls)));
    ASSERT_TRUE(m_kernel.add(std::make_shared<recording_service>("b", m_calls, true)));
    const result<void> started = m_kernel.start();
    ASSERT_FALSE(started);
    EXPECT_EQ(started.error().code, errc::bind_failed);
    const std::vector<std::string> expected = {"start a", "start b", "stop a"};
    EXPECT_EQ(m_calls, expected);
}

// Guards against a lookup that returns a service of the wrong type and against two services with one name.
TEST_F(kernel_fixture, find_with_wrong_name_or_type_and_add_with_taken_name_return_errors) {
    ASSERT_TRUE(m_kernel.add(std::make_shared<other_service>()));
    EXPECT_TRUE(m_kernel.find<other_service>(service_name("other")));
    EXPECT_EQ(m_kernel.find<other_service>(service_name("none")).error().code, errc::service_not_found);
    EXPECT_EQ(m_kernel.find<recording_service>(service_name("other")).error().code, errc::service_wrong_type);
    EXPECT_EQ(m_kernel.add(std::make_shared<other_service>()).error().code, errc::service_duplicate);
}

// Guards against data races on control state, which arise if control tasks run on several threads.
TEST_F(kernel_fixture, control_tasks_run_on_one_thread) {
    std::promise<std::thread::id> first;
    std::promise<std::thread::id> second;
    m_kernel.post_control([&first] { first.set_value(std::this_thread::get_id()); });
    m_kernel.post_control_after(milliseconds(1), [&second] { second.set_value(std::this_thread::get_id()); });
    EXPECT_EQ(first.get_future().get(), second.get_future().get());
}

} // namespace parsleypitch
