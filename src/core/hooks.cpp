#include <parsleypitch/core/hooks.hpp>

#include <ctime>
#include <memory>
#include <mutex>
#include <random>

namespace parsleypitch {

clock_hook steady_clock_hook() {
    return [] { return std::chrono::steady_clock::now(); };
}

clock_hook suspend_aware_clock_hook() {
    return [] {
        timespec now{};
        (void)::clock_gettime(CLOCK_BOOTTIME, &now); // fails only for an unsupported clock id
        return time_point(seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
    };
}

random_hook seeded_random_hook(std::uint64_t seed) {
    struct generator {
        std::mutex mutex;
        std::mt19937_64 engine;
    };
    auto shared = std::make_shared<generator>();
    shared->engine.seed(seed);
    return [shared](std::uint64_t bound) {
        const std::lock_guard lock(shared->mutex);
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(shared->engine);
    };
}

std::uint64_t random_seed() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace parsleypitch
