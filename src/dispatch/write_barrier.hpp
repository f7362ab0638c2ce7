// Defers requests that follow a write of the same session on the same client connection. They are passed to
// the routing policy only after the write has ended, so that they see the write.
#ifndef TULIPYOKE_SRC_DISPATCH_WRITE_BARRIER_HPP_
#define TULIPYOKE_SRC_DISPATCH_WRITE_BARRIER_HPP_

#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "src/dispatch/client_request.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke {

// Has no clock or timers: the owner calls Take for a request that has been deferred for too long.
class WriteBarrier {
 public:
  struct DeferredRequest {
    ClientRequest request;
    Micros arrival_time = 0;
  };

  // Defers the request until `write` has ended.
  void Add(RequestId id, RequestId write, const ClientRequest& request, Micros arrival_time) {
    deferred_[id] = {write, {request, arrival_time}};
  }
  // Drops the request if it is deferred, and marks the requests that wait for it as ready.
  void RequestEnded(RequestId id) {
    deferred_.erase(id);
    for (const auto& [waiting_id, entry] : deferred_) {
      if (entry.write == id) ready_.push_back(waiting_id);
    }
  }
  // Removes and returns the next ready request; nullopt if there is none. It stays deferred until Take.
  std::optional<RequestId> NextReady() {
    if (ready_.empty()) return std::nullopt;
    const RequestId id = ready_.front();
    ready_.pop_front();
    return id;
  }
  // Removes and returns a deferred request; nullopt if the request is not deferred.
  std::optional<DeferredRequest> Take(RequestId id) {
    const auto found = deferred_.find(id);
    if (found == deferred_.end()) return std::nullopt;
    DeferredRequest deferred = std::move(found->second.deferred);
    deferred_.erase(found);
    return deferred;
  }

 private:
  struct Entry {
    RequestId write = 0;
    DeferredRequest deferred;
  };
  std::map<RequestId, Entry> deferred_;  // by the deferred request
  std::deque<RequestId> ready_;
};

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_DISPATCH_WRITE_BARRIER_HPP_
