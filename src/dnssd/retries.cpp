#include "src/dnssd/retries.hpp"

#include <algorithm>

namespace tulipyoke::dnssd {
namespace {

constexpr int kMostDoublings = 6;

bool IsTransfer(const Question& question) {
  return question.type == RecordType::kIxfr || question.type == RecordType::kAxfr;
}

// What an answer is worth to who asked: NXDOMAIN is one, a refusal is not.
Trouble TroubleOf(const Message& message) {
  switch (static_cast<Rcode>(message.rcode)) {
    case Rcode::kNoError:
    case Rcode::kNxDomain:
      return Trouble::kNone;
    case Rcode::kServFail:
      return Trouble::kServFail;
    default:
      return Trouble::kRefused;
  }
}

}  // namespace

Resolvers::Resolvers(const RetryOptions& options) : options_(options), health_(options.resolvers) {}

// The one that answered last, unless it rests; else the first that does not; else the one that rests least.
std::size_t Resolvers::Preferred(Micros now) const {
  if (health_[last_good_].rest_until <= now) return last_good_;
  const auto rested = [&](const Health& h) { return std::max(h.rest_until, now); };
  const auto best = std::min_element(health_.begin(), health_.end(),
                                     [&](const Health& a, const Health& b) { return rested(a) < rested(b); });
  return static_cast<std::size_t>(best - health_.begin());
}

void Resolvers::Ask(Micros now, AskId id, const Question& question, std::optional<std::size_t> at,
                    std::uint32_t serial) {
  Asked& asked = asks_[id];
  asked = {question, serial, at, at.value_or(Preferred(now)), Transport::kDatagram, 0};
  // A transfer over UDP fits only small changes and saves nothing here (RFC 1995, 2).
  if (IsTransfer(question)) asked.transport = Transport::kStream;
  Transmit(now, id, asked);
}

void Resolvers::Transmit(Micros now, AskId id, Asked& asked) {
  ++asked.attempt;
  const bool stream = asked.transport == Transport::kStream;
  ++(stream ? counters_.streams : counters_.sent);
  const Micros wait =
      stream ? options_.stream_wait : options_.first_wait << std::min(asked.attempt - 1, kMostDoublings);
  transmissions_.push_back(
      {id, asked.attempt, asked.resolver, asked.transport, asked.question, asked.serial, now + wait});
}

void Resolvers::Answered(Micros now, AskId id, int attempt, std::vector<Message> messages) {
  const auto it = asks_.find(id);
  if (it == asks_.end() || it->second.attempt != attempt || messages.empty()) return;
  Asked& asked = it->second;
  const Trouble trouble = TroubleOf(messages.front());
  // A transfer that is refused says nothing of the resolver: its questions are answered.
  if (trouble != Trouble::kNone && !IsTransfer(asked.question)) return Failed(now, id, attempt, trouble);
  if (messages.front().truncated && asked.transport == Transport::kDatagram) {
    asked.transport = Transport::kStream;
    return Transmit(now, id, asked);
  }
  if (messages.front().truncated) return Failed(now, id, attempt, Trouble::kSpoilt);
  health_[asked.resolver].failures = 0;
  last_good_ = asked.resolver;
  settled_.push_back({id, asked.resolver, trouble, std::move(messages)});
  asks_.erase(it);
}

void Resolvers::Failed(Micros now, AskId id, int attempt, Trouble trouble) {
  const auto it = asks_.find(id);
  if (it == asks_.end() || it->second.attempt != attempt) return;
  Asked& asked = it->second;
  ++(trouble == Trouble::kTimeout       ? counters_.timeouts
     : trouble == Trouble::kUnreachable ? counters_.unreachable
     : trouble == Trouble::kSpoilt      ? counters_.spoilt
                                        : counters_.refused);
  Rest(now, asked.resolver);
  if (asked.only || asked.attempt >= options_.most_tries) {
    settled_.push_back({id, asked.resolver, trouble, {}});
    asks_.erase(it);
    return;
  }
  const std::size_t next = Preferred(now);
  if (next != asked.resolver) ++counters_.switched;
  asked.resolver = next;
  // What was too large for a datagram there is too large here.
  Transmit(now, id, asked);
}

// It answers well, so that answering must not make it the first choice again: the others have their turn.
void Resolvers::Distrust(Micros now, std::size_t resolver) {
  health_[resolver].rest_until = now + options_.longest_rest;
  last_good_ = (resolver + 1) % health_.size();
}

void Resolvers::Rest(Micros now, std::size_t resolver) {
  Health& health = health_[resolver];
  const Micros rest = options_.first_rest << std::min(health.failures, kMostDoublings);
  ++health.failures;
  health.rest_until = now + std::min(rest, options_.longest_rest);
}

}  // namespace tulipyoke::dnssd
