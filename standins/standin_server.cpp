#include "standin_server.hpp"

#include <cstdlib>

namespace parsleypitch::standins {

namespace {
constexpr int crash_exit_code = 70;
}

result<void> standin_server::start(int port, const std::string& address) {
    add_routes(m_http.routes());
    return m_http.start(address, port);
}

void standin_server::stop() {
    m_stopping.set();
    m_kernel.post_control([this] { release_waits(); });
    m_http.stop();
    m_kernel.stop();
}

void standin_server::crash() {
    if (on_crash) {
        on_crash();
        return;
    }
    std::_Exit(crash_exit_code);
}

} // namespace parsleypitch::standins
