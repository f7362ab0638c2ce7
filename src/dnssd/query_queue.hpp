// The queries of one browser: at most one per question, some in flight at a time, the others waiting.
#ifndef TULIPYOKE_SRC_DNSSD_QUERY_QUEUE_HPP_
#define TULIPYOKE_SRC_DNSSD_QUERY_QUEUE_HPP_

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "src/dnssd/query.hpp"

namespace tulipyoke::dnssd {

// Whether the question is about the zone or the service as a whole, not about one instance or host.
bool IsZoneQuestion(const Question& question);

class QueryQueue {
 public:
  using StillNeeded = std::function<bool(const Question&)>;

  // At most `max_concurrent` queries about instances and hosts are in flight; others have no limit.
  explicit QueryQueue(std::size_t max_concurrent) : max_concurrent_(max_concurrent) {}

  // Both do nothing while the same question waits or is in flight. Those about the zone go first.
  void EnqueueFirst(Query query);
  void EnqueueLast(const Question& question);
  // Moves queries to the ready ones. Those about instances and hosts are dropped if they are not needed any
  // more, and go to `resolver`.
  void Dispatch(std::size_t resolver, const StillNeeded& still_needed);
  // The queries made ready since the last call, with their ids.
  std::vector<Query> TakeReady() { return std::exchange(ready_, {}); }
  // Ends a query in flight and returns its question. None: there is no such query.
  std::optional<Question> Complete(QueryId id);

 private:
  std::size_t max_concurrent_;
  QueryId next_id_ = 1;
  std::set<Question> open_;  // waiting or in flight
  std::deque<Query> waiting_;
  std::map<QueryId, Question> in_flight_;
  std::vector<Query> ready_;
};

}  // namespace tulipyoke::dnssd

#endif  // TULIPYOKE_SRC_DNSSD_QUERY_QUEUE_HPP_
