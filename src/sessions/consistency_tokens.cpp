#include "src/sessions/consistency_tokens.hpp"

#include <algorithm>

namespace tulipyoke::sessions {
namespace {

constexpr Micros kMicrosPerMilli = 1000;

std::int64_t MillisRoundedUp(Micros position) { return (position + kMicrosPerMilli - 1) / kMicrosPerMilli; }

}  // namespace

void ConsistencyTokens::Record(std::uint64_t key, int group, Micros position) {
  if (key == 0) return RaiseFloor(group, position);
  Commit& commit = commits_[key];
  commit = {std::max(commit.position, position), group};
}

Micros ConsistencyTokens::Required(std::uint64_t key, int group) const {
  if (const auto commit = commits_.find(key); commit != commits_.end()) return commit->second.position;
  const auto floor = floors_.find(group);
  return floor == floors_.end() ? kNoPosition : floor->second;
}

void ConsistencyTokens::RaiseFloor(int group, Micros position) {
  Micros& floor = floors_.try_emplace(group, kNoPosition).first->second;
  floor = std::max(floor, position);
}

void ConsistencyTokens::Compact(Micros oldest) {
  if (commits_.size() < next_compaction_size_) return;
  std::erase_if(commits_, [&](const auto& entry) {
    const Commit& commit = entry.second;
    if (commit.position > oldest) return false;
    RaiseFloor(commit.group, commit.position);
    return true;
  });
  next_compaction_size_ = std::max(kMinCompactionSize, 2 * commits_.size());
}

std::vector<SessionCommit> ConsistencyTokens::KnownCommits(std::uint64_t key) const {
  std::vector<SessionCommit> known;
  const auto end = key == 0 ? commits_.end() : commits_.upper_bound(key);
  for (auto it = commits_.lower_bound(key); it != end; ++it) {
    known.push_back({it->first, it->second.group, MillisRoundedUp(it->second.position)});
  }
  if (key != 0) return known;
  for (const auto& [group, floor] : floors_) known.push_back({0, group, MillisRoundedUp(floor)});
  return known;
}

}  // namespace tulipyoke::sessions
