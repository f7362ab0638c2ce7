// Requests that wait for a write of their session which the client sent before them on the same connection:
// the decision module is not told of them until the write has ended, so that they see it.
#ifndef TULIPYOKE_SRC_DISPATCH_WRITE_BARRIER_HPP_
#define TULIPYOKE_SRC_DISPATCH_WRITE_BARRIER_HPP_

#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "src/dispatch/client_request.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke {

// No clock and no timers: the owner ends a wait that has lasted too long with Take.
class WriteBarrier {
 public:
  struct Waiting {
    ClientRequest request;
    Micros arrival_time = 0;
  };

  // The request waits for the end of `write`.
  void Add(RequestId id, RequestId write, const ClientRequest& request, Micros arrival_time) {
    waiting_[id] = {write, {request, arrival_time}};
  }
  // That request has ended: it waits no more, and what waits for it may go on.
  void RequestEnded(RequestId id) {
    waiting_.erase(id);
    for (const auto& [follower, entry] : waiting_) {
      if (entry.write == id) released_.push_back(follower);
    }
  }
  // The next request that may go on; nullopt if there is none.
  std::optional<RequestId> NextReleased() {
    if (released_.empty()) return std::nullopt;
    const RequestId id = released_.front();
    released_.pop_front();
    return id;
  }
  // Ends the wait of that request; nullopt if it does not wait.
  std::optional<Waiting> Take(RequestId id) {
    const auto found = waiting_.find(id);
    if (found == waiting_.end()) return std::nullopt;
    Waiting waiting = std::move(found->second.waiting);
    waiting_.erase(found);
    return waiting;
  }

 private:
  struct Entry {
    RequestId write = 0;
    Waiting waiting;
  };
  std::map<RequestId, Entry> waiting_;  // an entry leaves with its request's end or its wait's
  std::deque<RequestId> released_;
};

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_DISPATCH_WRITE_BARRIER_HPP_
