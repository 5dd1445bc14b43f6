#include "cli/process.hpp"

#include "cli/commands.hpp"

#include <glog/logging.h>

#include <csignal>
#include <iostream>

namespace parsleypitch::cli {

namespace {

sigset_t stop_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void start_logging(int level) {
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = level;
    google::InitGoogleLogging("parsleypitch");
}

void block_stop_signals() {
    const sigset_t signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // Writing to a connection that the caller has closed must not terminate the process.
    (void)std::signal(SIGPIPE, SIG_IGN);
}

int run_until_signal(kernel& host, const endpoint& listen_address) {
    if (const auto started = host.start(); !started) {
        std::cerr << to_string(started.error()) << '\n';
        return exit_failure;
    }
    std::cout << "listening on " << listen_address << std::endl;
    const sigset_t signals = stop_signals();
    int received = 0;
    sigwait(&signals, &received);
    LOG(INFO) << "process: draining after signal " << received;
    host.drain();
    host.stop();
    LOG(INFO) << "process: stopped";
    return exit_success;
}

incarnation new_incarnation() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return incarnation(
        static_cast<std::uint64_t>(std::chrono::duration_cast<microseconds>(since_epoch).count()));
}

} // namespace parsleypitch::cli
