#include "src/dnssd/stub_resolver.hpp"

#include <algorithm>

namespace tulipyoke::dnssd {
namespace {

// Of timeouts and cooldowns.
constexpr int kMaxDoublings = 6;

// NXDOMAIN is an answer; a refusal is none.
std::optional<QueryError> ErrorOf(const Message& message) {
  switch (static_cast<Rcode>(message.rcode)) {
    case Rcode::kNoError:
    case Rcode::kNxDomain:
      return std::nullopt;
    case Rcode::kServFail:
      return QueryError::kServerFailure;
    default:
      return QueryError::kRefused;
  }
}

}  // namespace

StubResolver::StubResolver(const StubResolverOptions& options)
    : options_(options), health_(options.resolver_count) {}

// The one that answered last, unless it cools down; else the first whose cooldown ends the soonest.
std::size_t StubResolver::PreferredResolver(Micros now) const {
  if (health_[last_responsive_].cooldown_until <= now) return last_responsive_;
  const auto available_at = [&](const Health& health) { return std::max(health.cooldown_until, now); };
  const auto best = std::min_element(
      health_.begin(), health_.end(),
      [&](const Health& left, const Health& right) { return available_at(left) < available_at(right); });
  return static_cast<std::size_t>(best - health_.begin());
}

void StubResolver::Submit(Micros now, const Query& query) {
  QueryState& state = queries_[query.id];
  state = QueryState();
  state.question = query.question;
  state.serial = query.serial;
  state.single_resolver = query.resolver.has_value();
  state.resolver = query.resolver.value_or(PreferredResolver(now));
  // A transfer over UDP fits only small changes and saves nothing here (RFC 1995, 2).
  state.transport = IsTransfer(query.question.type) ? Transport::kTcp : Transport::kUdp;
  Transmit(now, query.id, state);
}

void StubResolver::Transmit(Micros now, QueryId id, QueryState& query) {
  ++query.attempt;
  Micros timeout = options_.tcp_timeout;
  if (query.transport == Transport::kTcp) {
    ++counters_.tcp_queries;
  } else {
    ++counters_.udp_queries;
    timeout = options_.udp_timeout << std::min(query.attempt - 1, kMaxDoublings);
  }
  transmissions_.push_back(
      {id, query.attempt, query.resolver, query.transport, query.question, query.serial, now + timeout});
}

void StubResolver::OnResponse(Micros now, QueryId id, int attempt, std::vector<Message> messages) {
  const auto it = queries_.find(id);
  if (it == queries_.end() || it->second.attempt != attempt || messages.empty()) return;
  QueryState& query = it->second;
  const std::optional<QueryError> error = ErrorOf(messages.front());
  // A refused transfer says nothing about the resolver's health: it answers other queries.
  if (error && !IsTransfer(query.question.type)) return OnFailure(now, id, attempt, *error);
  if (messages.front().truncated && query.transport == Transport::kUdp) {
    query.transport = Transport::kTcp;
    return Transmit(now, id, query);
  }
  if (messages.front().truncated) return OnFailure(now, id, attempt, QueryError::kMalformed);
  health_[query.resolver].consecutive_failures = 0;
  last_responsive_ = query.resolver;
  results_.push_back({id, query.resolver, error, std::move(messages)});
  queries_.erase(it);
}

void StubResolver::OnFailure(Micros now, QueryId id, int attempt, QueryError error) {
  const auto it = queries_.find(id);
  if (it == queries_.end() || it->second.attempt != attempt) return;
  QueryState& query = it->second;
  CountFailure(error);
  CoolDown(now, query.resolver);
  if (query.single_resolver || query.attempt >= options_.max_attempts) {
    results_.push_back({id, query.resolver, error, {}});
    queries_.erase(it);
    return;
  }
  const std::size_t next = PreferredResolver(now);
  if (next != query.resolver) ++counters_.failovers;
  query.resolver = next;
  // The transport stays: a response too large for UDP at one resolver is too large at another.
  Transmit(now, id, query);
}

void StubResolver::CountFailure(QueryError error) {
  switch (error) {
    case QueryError::kTimeout:
      ++counters_.timeouts;
      break;
    case QueryError::kUnreachable:
      ++counters_.unreachable;
      break;
    case QueryError::kMalformed:
      ++counters_.malformed;
      break;
    case QueryError::kServerFailure:
    case QueryError::kRefused:
      ++counters_.refused;
      break;
  }
}

// Its responses are timely, so they must not make it the preferred one again: the next one takes over.
void StubResolver::MarkStale(Micros now, std::size_t resolver) {
  health_[resolver].cooldown_until = now + options_.max_cooldown;
  last_responsive_ = (resolver + 1) % health_.size();
}

void StubResolver::CoolDown(Micros now, std::size_t resolver) {
  Health& health = health_[resolver];
  const Micros cooldown = options_.initial_cooldown << std::min(health.consecutive_failures, kMaxDoublings);
  ++health.consecutive_failures;
  health.cooldown_until = now + std::min(cooldown, options_.max_cooldown);
}

}  // namespace tulipyoke::dnssd
