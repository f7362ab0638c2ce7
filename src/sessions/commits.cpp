#include "src/sessions/commits.hpp"

#include <algorithm>

namespace tulipyoke::sessions {

void Commits::Note(std::uint64_t key, int group, Micros position) {
  if (key == 0) return RaiseFloor(group, position);
  Commit& commit = commits_[key];
  commit = {std::max(commit.position, position), group};
}

Micros Commits::Needed(std::uint64_t key, int group) const {
  if (const auto commit = commits_.find(key); commit != commits_.end()) return commit->second.position;
  const auto floor = floors_.find(group);
  return floor == floors_.end() ? kNone : floor->second;
}

void Commits::RaiseFloor(int group, Micros position) {
  Micros& floor = floors_.try_emplace(group, kNone).first->second;
  floor = std::max(floor, position);
}

void Commits::Forget(Micros oldest) {
  if (commits_.size() < kept_) return;
  std::erase_if(commits_, [&](const auto& entry) {
    if (entry.second.position > oldest) return false;
    RaiseFloor(entry.second.group, entry.second.position);
    return true;
  });
  kept_ = std::max(kKept, 2 * commits_.size());
}

std::vector<SessionCommit> Commits::Known(std::uint64_t key) const {
  const auto up = [](Micros position) { return (position + 999) / 1000; };
  std::vector<SessionCommit> known;
  const auto end = key == 0 ? commits_.end() : commits_.upper_bound(key);
  for (auto it = commits_.lower_bound(key); it != end; ++it)
    known.push_back({it->first, it->second.group, up(it->second.position)});
  if (key != 0) return known;
  for (const auto& [group, floor] : floors_) known.push_back({0, group, up(floor)});
  return known;
}

}  // namespace tulipyoke::sessions
