// Whether this process accepts clients. The admin server, the listener, hot restart and shutdown share this
// state. It does no I/O and reads no clock: callers pass the time in microseconds of the event loop's clock.
#ifndef TULIPYOKE_SRC_SERVING_STATE_SERVING_STATE_HPP_
#define TULIPYOKE_SRC_SERVING_STATE_SERVING_STATE_HPP_

#include "tulipyoke/router.hpp"

namespace tulipyoke::net {

// Used only on the event loop thread.
class ServingState {
 public:
  enum class State {
    kStarting,
    kInService,
    kOutOfService,  // on an operator's command, which can be reverted
    kHandedOver,    // another process of this router accepts the clients
    kStopping,
  };

  // The process is ready and accepts clients, unless an operator has already taken it out of service.
  void Start() {
    if (state_ == State::kStarting) state_ = State::kInService;
  }
  void TakeOutOfService(Micros now) {
    if (state_ == State::kStarting || state_ == State::kInService) BeginDraining(now, State::kOutOfService);
  }
  // Returns false if the process is stopping, which cannot be undone.
  bool ReturnToService() {
    if (stop_requested_) return false;
    if (state_ == State::kOutOfService) state_ = State::kInService;
    return true;
  }
  void Stop(Micros now) {
    stop_requested_ = true;
    if (state_ == State::kHandedOver) return;  // the other process already accepts the clients
    // The drain window began when the process was taken out of service, and is not restarted.
    if (state_ == State::kOutOfService) state_ = State::kStopping;
    if (state_ != State::kStopping) BeginDraining(now, State::kStopping);
  }
  void HandOver(Micros now) {
    if (state_ == State::kInService) BeginDraining(now, State::kHandedOver);
  }
  // The process that took over has ended. This one accepts clients again, or drains if it was told to stop.
  void TakeBack(Micros now) {
    if (state_ != State::kHandedOver) return;
    state_ = State::kInService;
    if (stop_requested_) BeginDraining(now, State::kStopping);
  }

  State state() const { return state_; }
  // Whether this process accepts clients; the admin server reports it as readiness.
  bool ready() const { return state_ == State::kInService; }
  // Whether the router accepts clients in any of its processes. If not, empty queries get an error.
  bool router_accepts_clients() const { return ready() || state_ == State::kHandedOver; }
  // While draining, each connection is closed after its next response.
  bool draining() const { return state_ != State::kStarting && state_ != State::kInService; }
  // Whether all clients that the load balancer sent here before it noticed the drain have connected by now.
  bool DrainWindowElapsed(Micros now) const { return draining() && now - draining_since_ >= kDrainWindow; }
  // Whether an idle connection is closed now. After a handover only connections that have been idle for long
  // are closed, because they are the least likely to be used at that moment. A request that arrives during
  // the close is discarded.
  bool ShouldCloseIdle(Micros now, Micros last_active) const {
    if (!DrainWindowElapsed(now)) return false;
    return state_ != State::kHandedOver || now - last_active >= kHandedOverMinIdle;
  }
  // Whether new requests are rejected, so that none is in flight by the time the drain must be complete.
  bool ShouldReject(Micros now) const {
    return state_ == State::kOutOfService && now - draining_since_ >= kOutOfServiceGrace;
  }

 private:
  // The load balancer checks readiness every 0.1 s and sends connections for up to 0.2 s after the first
  // "no", or up to 0.4 s on a stop.
  static constexpr Micros kDrainWindow = 500'000;
  // How long a process that is out of service continues to serve requests.
  static constexpr Micros kOutOfServiceGrace = 1'700'000;
  static constexpr Micros kHandedOverMinIdle = 1'500'000;

  void BeginDraining(Micros now, State state) {
    state_ = state;
    draining_since_ = now;
  }

  State state_ = State::kStarting;
  bool stop_requested_ = false;
  Micros draining_since_ = 0;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_SERVING_STATE_SERVING_STATE_HPP_
