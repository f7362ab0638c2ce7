// Whether this process takes clients: one state, which the admin server, the listener, hot restart and the
// signals read and change. No I/O and no clock of its own: the caller gives the time, in microseconds of the
// event loop's clock.
#ifndef TULIPYOKE_SRC_SERVING_STATE_SERVING_STATE_HPP_
#define TULIPYOKE_SRC_SERVING_STATE_SERVING_STATE_HPP_

#include "tulipyoke/router.hpp"

namespace tulipyoke::net {

// Used on the event loop's thread only.
class ServingState {
 public:
  enum class State {
    kStarting,
    kInService,
    kOutOfService,  // by an operator, who may return it to service
    kHandedOver,    // another process of this router takes the clients
    kStopping,
  };

  // It takes clients from now on, unless it was taken out of service before it was ready.
  void Start() {
    if (state_ == State::kStarting) state_ = State::kInService;
  }
  void TakeOutOfService(Micros now) {
    if (state_ == State::kStarting || state_ == State::kInService) BeginDraining(now, State::kOutOfService);
  }
  // False where the process is stopping, which cannot be undone.
  bool ReturnToService() {
    if (stopped_) return false;
    if (state_ == State::kOutOfService) state_ = State::kInService;
    return true;
  }
  void Stop(Micros now) {
    stopped_ = true;
    if (state_ == State::kHandedOver) return;  // nothing changes for the clients
    // Out of service, its drain window began back then and goes on.
    if (state_ == State::kOutOfService) state_ = State::kStopping;
    if (state_ != State::kStopping) BeginDraining(now, State::kStopping);
  }
  void HandOver(Micros now) {
    if (state_ == State::kInService) BeginDraining(now, State::kHandedOver);
  }
  // The process that took over is gone: this one takes the clients again, unless it is to stop itself.
  void TakeBack(Micros now) {
    if (state_ != State::kHandedOver) return;
    state_ = State::kInService;
    if (stopped_) BeginDraining(now, State::kStopping);
  }

  State state() const { return state_; }
  // Whether this process takes clients: the admin server's readiness.
  bool ready() const { return state_ == State::kInService; }
  // Whether the router takes clients, in whichever process: what the empty query is answered by.
  bool router_accepts_clients() const { return ready() || state_ == State::kHandedOver; }
  // Each connection is closed after its next answer.
  bool draining() const { return state_ != State::kStarting && state_ != State::kInService; }
  // Clients that were sent here before the load balancer heard of the draining have connected by now.
  bool DrainWindowElapsed(Micros now) const { return draining() && now - draining_since_ >= kDrainWindow; }
  // Whether an idle connection is closed now. Handed over, there is no hurry: one that has long been idle is
  // the least likely to be used at that very moment, and where it is, its request is rejected.
  bool ShouldCloseIdle(Micros now, Micros last_active) const {
    if (!DrainWindowElapsed(now)) return false;
    return state_ != State::kHandedOver || now - last_active >= kLongIdle;
  }
  // Whether a new request is rejected, so that none is in flight when the router has to be empty.
  bool ShouldReject(Micros now) const {
    return state_ == State::kOutOfService && now - draining_since_ >= kServeOutOfService;
  }

 private:
  // The load balancer in front checks readiness every 0.1 s and sends connections for 0.2 s after the first
  // "no"; on a stop for 0.4 s.
  static constexpr Micros kDrainWindow = 500'000;
  // How long a process that is out of service goes on serving requests.
  static constexpr Micros kServeOutOfService = 1'700'000;
  static constexpr Micros kLongIdle = 1'500'000;

  void BeginDraining(Micros now, State state) {
    state_ = state;
    draining_since_ = now;
  }

  State state_ = State::kStarting;
  bool stopped_ = false;
  Micros draining_since_ = 0;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_SERVING_STATE_SERVING_STATE_HPP_
