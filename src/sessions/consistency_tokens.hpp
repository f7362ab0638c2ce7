// The commits of sessions as far as this router saw them: the position that a session's next read must see.
// The memory is bounded: old commits are merged into one floor for their group, so that forgetting one makes
// a read wait and never lets it be stale.
#ifndef TULIPYOKE_SRC_SESSIONS_CONSISTENCY_TOKENS_HPP_
#define TULIPYOKE_SRC_SESSIONS_CONSISTENCY_TOKENS_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "tulipyoke/router.hpp"

namespace tulipyoke::sessions {

// No position is required.
inline constexpr Micros kNoPosition = -1;

// Positions are microseconds after Settings::position_epoch.
class ConsistencyTokens {
 public:
  // Notes a commit; key 0 stands for all sessions of the group that are not named.
  void Record(std::uint64_t key, int group, Micros position);
  // The position that the session's next read needs; kNoPosition: any will do.
  Micros Required(std::uint64_t key, int group) const;
  // All writes of sessions of the group that were not seen here are at `position` or before.
  void RaiseFloor(int group, Micros position);
  // Merges commits that are not newer than `oldest`, once there are many: to look each time would cost more
  // than it frees.
  void Compact(Micros oldest);
  // The commits of one session, or with 0 of all sessions and the floors; in milliseconds, rounded up.
  std::vector<SessionCommit> Known(std::uint64_t key) const;
  std::size_t size() const { return commits_.size(); }

 private:
  struct Commit {
    Micros position = 0;
    int group = 0;
  };
  static constexpr std::size_t kLeastCompacted = 4096;

  std::map<std::uint64_t, Commit> commits_;
  std::map<int, Micros> floors_;
  std::size_t compact_at_ = kLeastCompacted;
};

}  // namespace tulipyoke::sessions

#endif  // TULIPYOKE_SRC_SESSIONS_CONSISTENCY_TOKENS_HPP_
