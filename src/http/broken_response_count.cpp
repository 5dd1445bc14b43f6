#include <parsleypitch/http/broken_response_count.hpp>

#include <string>

namespace parsleypitch::http {

void count_broken_response(metrics_registry& metrics, const call_failure& why) {
    if (why.fault) {
        metrics.count(metric_name("parsleypitch_broken_responses_total"),
                      {{"reason", std::string(to_string(*why.fault))}});
    }
}

} // namespace parsleypitch::http
