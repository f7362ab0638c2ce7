// Whether this process takes clients: one state, which the operators' door, the empty query and the signals
// ask and move. No I/O and no clock of its own.
#ifndef TULIPYOKE_SRC_NET_SERVICE_HPP_
#define TULIPYOKE_SRC_NET_SERVICE_HPP_

#include "tulipyoke/router.hpp"

namespace tulipyoke::net {

class Service {
 public:
  // Handed over: another process of this router takes the clients.
  enum class State { kStarting, kInService, kOutOfService, kHandedOver, kStopping };

  // It takes clients now, unless it was taken out of service before it was ready.
  void Start() {
    if (state_ == State::kStarting) state_ = State::kInService;
  }
  void TakeOut(Micros now) {
    if (state_ == State::kStarting || state_ == State::kInService) Leave(now, State::kOutOfService);
  }
  // False: it is stopping, and there is no way back.
  bool PutBack() {
    if (stopped_) return false;
    if (state_ == State::kOutOfService) state_ = State::kInService;
    return true;
  }
  void Stop(Micros now) {
    stopped_ = true;
    if (state_ == State::kHandedOver) return;  // nothing changes for the clients
    if (state_ == State::kOutOfService) state_ = State::kStopping;
    if (state_ != State::kStopping) Leave(now, State::kStopping);
  }
  void HandOver(Micros now) {
    if (state_ == State::kInService) Leave(now, State::kHandedOver);
  }
  // The other process is gone: this one takes the clients again, unless it is to stop itself.
  void TakeBack(Micros now) {
    if (state_ != State::kHandedOver) return;
    state_ = State::kInService;
    if (stopped_) Leave(now, State::kStopping);
  }

  State state() const { return state_; }
  // What the door answers: whether this process takes clients.
  bool ready() const { return state_ == State::kInService; }
  // What the empty query is answered: whether the router does, in whichever process.
  bool welcomes() const { return ready() || state_ == State::kHandedOver; }
  // Each connection closes behind its next answer.
  bool leaving() const { return state_ != State::kStarting && state_ != State::kInService; }
  // Clients that were sent here before the word got round have come by now.
  bool WindowOver(Micros now) const { return leaving() && now - since_ >= kWindow; }
  // Idle connections close then. Handed over, there is no hurry: one that has long been idle is the least
  // likely to be asked on at that very moment, and where it is, its client is turned back.
  bool ReleasesIdle(Micros now, Micros last_active) const {
    return WindowOver(now) && (state_ != State::kHandedOver || now - last_active >= kLongIdle);
  }
  // So late a request is refused, that nothing is still out when the router has to be empty.
  bool Refuses(Micros now) const { return state_ == State::kOutOfService && now - since_ >= kServeOn; }

 private:
  // The front asks every 0.1 s and sends connections for 0.2 s after the first no; on a stop for 0.4 s.
  static constexpr Micros kWindow = 500'000;
  static constexpr Micros kServeOn = 1'700'000;
  static constexpr Micros kLongIdle = 1'500'000;

  void Leave(Micros now, State state) {
    state_ = state;
    since_ = now;
  }

  State state_ = State::kStarting;
  bool stopped_ = false;
  Micros since_ = 0;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_NET_SERVICE_HPP_
