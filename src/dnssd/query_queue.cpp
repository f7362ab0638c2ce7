#include "src/dnssd/query_queue.hpp"

namespace tulipyoke::dnssd {

bool IsZoneQuestion(const Question& question) {
  switch (question.type) {
    case RecordType::kSrv:
    case RecordType::kTxt:
    case RecordType::kA:
    case RecordType::kAaaa:
      return false;
    default:
      return true;
  }
}

void QueryQueue::EnqueueFirst(Query query) {
  if (!open_.insert(query.question).second) return;
  waiting_.push_front(std::move(query));
}

void QueryQueue::EnqueueLast(const Question& question) {
  if (!open_.insert(question).second) return;
  Query query;
  query.question = question;
  waiting_.push_back(std::move(query));
}

void QueryQueue::Dispatch(std::size_t resolver, const StillNeeded& still_needed) {
  while (!waiting_.empty()) {
    const bool zone_question = IsZoneQuestion(waiting_.front().question);
    if (!zone_question && in_flight_.size() >= max_concurrent_) return;
    Query query = std::move(waiting_.front());
    waiting_.pop_front();
    if (!zone_question) {
      if (!still_needed(query.question)) {
        open_.erase(query.question);
        continue;
      }
      query.resolver = resolver;
    }
    query.id = next_id_++;
    in_flight_[query.id] = query.question;
    ready_.push_back(std::move(query));
  }
}

std::optional<Question> QueryQueue::Complete(QueryId id) {
  const auto it = in_flight_.find(id);
  if (it == in_flight_.end()) return std::nullopt;
  Question question = std::move(it->second);
  in_flight_.erase(it);
  open_.erase(question);
  return question;
}

}  // namespace tulipyoke::dnssd
