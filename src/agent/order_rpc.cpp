#include "agent/order_rpc.hpp"

#include "wire/convert.hpp"

#include <parsleypitch/lease/lease_object.hpp>
#include <parsleypitch/platform/http_object_store.hpp>

#include <thread>

namespace parsleypitch::detail {

namespace {

/// Sets the fields that `FenceReply` and `OrderReply` have in common.
template <class Reply>
void fill_reply(Reply& reply, const result<engine_state>& done, const order_service* orders) {
    if (orders != nullptr) {
        reply.set_highest(orders->highest().value());
    }
    if (done) {
        *reply.mutable_state() = wire::to_wire(done.value());
        return;
    }
    reply.set_code(static_cast<std::uint32_t>(done.error().code.value()));
    reply.set_detail(done.error().detail);
}

error not_an_engine() {
    return fail(errc::order_failed, "the backend server is a plain service and takes no orders");
}

} // namespace

order_hooks make_order_hooks(const agent_settings& settings, const backend_hooks& backend,
                             const std::shared_ptr<concurrency_limiter>& limiter,
                             const std::shared_ptr<backend_monitor>& monitor) {
    order_hooks hooks;
    hooks.clock = steady_clock_hook();
    hooks.wait = [](duration time) { std::this_thread::sleep_for(time); };
    hooks.read_back = backend.poll;
    hooks.write = backend.order;
    hooks.read_lease = [store = http_object_store(settings.platform.objects),
                        key = lease_key(settings.zone)]() -> result<fencing_number> {
        BOOST_OUTCOME_TRY(stored, read_lease(store, key));
        return stored.value.term;
    };
    hooks.close_for_change = [limiter](milliseconds finish_limit) {
        limiter->close_for_change(finish_limit);
    };
    hooks.reopen = [limiter] { limiter->reopen(); };
    hooks.on_changed = [weak = std::weak_ptr(monitor)] {
        if (const auto found = weak.lock()) {
            found->request_poll();
        }
    };
    return hooks;
}

v1::FenceReply handle_fence(order_service* orders, const v1::FenceRequest& request) {
    const auto done = orders != nullptr ? orders->fence(fencing_number(request.fencing_number()))
                                        : result<engine_state>(not_an_engine());
    v1::FenceReply reply;
    reply.set_accepted(done.has_value());
    fill_reply(reply, done, orders);
    return reply;
}

v1::OrderReply handle_order(order_service* orders, const v1::OrderRequest& request) {
    const auto done = orders != nullptr
                          ? orders->order({fencing_number(request.fencing_number()), request.order_id(),
                                           wire::from_wire(request.target())})
                          : result<engine_state>(not_an_engine());
    v1::OrderReply reply;
    reply.set_applied(done.has_value());
    fill_reply(reply, done, orders);
    return reply;
}

} // namespace parsleypitch::detail
