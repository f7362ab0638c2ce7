// Stores the newest commit of each session that this router knows: the position that the session's next read
// must see. Memory is bounded by merging old commits into one floor per group. A read of a merged session may
// wait longer than necessary but never sees stale data.
#ifndef TULIPYOKE_SRC_SESSIONS_CONSISTENCY_TOKENS_HPP_
#define TULIPYOKE_SRC_SESSIONS_CONSISTENCY_TOKENS_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "tulipyoke/router.hpp"

namespace tulipyoke::sessions {

// Means that no position is required.
inline constexpr Micros kNoPosition = -1;

// Positions are in microseconds after Settings::position_epoch.
class ConsistencyTokens {
 public:
  // Records a commit. Key 0 stands for all sessions of the group without a commit of their own.
  void Record(std::uint64_t key, int group, Micros position);
  // The position that the session's next read needs, or kNoPosition if any will do.
  Micros Required(std::uint64_t key, int group) const;
  // States that no unrecorded commit of a session of the group is newer than `position`.
  void RaiseFloor(int group, Micros position);
  // Merges the commits up to `oldest` into the floors. It does so only once there are many, because a scan on
  // every call would cost more than it frees.
  void Compact(Micros oldest);
  // The commit of one session, or with key 0 those of all sessions and the floors. Positions are rounded up
  // to milliseconds.
  std::vector<SessionCommit> KnownCommits(std::uint64_t key) const;
  std::size_t size() const { return commits_.size(); }

 private:
  struct Commit {
    Micros position = 0;
    int group = 0;
  };
  static constexpr std::size_t kMinCompactionSize = 4096;

  std::map<std::uint64_t, Commit> commits_;
  std::map<int, Micros> floors_;
  std::size_t next_compaction_size_ = kMinCompactionSize;
};

}  // namespace tulipyoke::sessions

#endif  // TULIPYOKE_SRC_SESSIONS_CONSISTENCY_TOKENS_HPP_
