// The commits of sessions, as far as they were seen here: what a session's read must see. Bounded: old ones
// are merged into one floor for their group, so that forgetting makes a read wait and never lets it go stale.
#ifndef TULIPYOKE_SRC_SESSIONS_COMMITS_HPP_
#define TULIPYOKE_SRC_SESSIONS_COMMITS_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "tulipyoke/router.hpp"

namespace tulipyoke::sessions {

inline constexpr Micros kNone = -1;

class Commits {
 public:
  // Key 0 stands for all sessions of the group that are not named.
  void Note(std::uint64_t key, int group, Micros position);
  // The position that the session's next read needs; kNone: any will do.
  Micros Needed(std::uint64_t key, int group) const;
  // Whatever may have been written without a word here: at the latest by then.
  void RaiseFloor(int group, Micros position);
  // Merges what is older than `oldest`, once there are many; a look each time would cost more than it frees.
  void Forget(Micros oldest);
  // What is known of that session, or with 0 of all of them and of the floors; commits rounded up.
  std::vector<SessionCommit> Known(std::uint64_t key) const;
  std::size_t size() const { return commits_.size(); }

 private:
  struct Commit {
    Micros position = 0;
    int group = 0;
  };
  static constexpr std::size_t kKept = 4096;

  std::map<std::uint64_t, Commit> commits_;
  std::map<int, Micros> floors_;
  std::size_t kept_ = kKept;
};

}  // namespace tulipyoke::sessions

#endif  // TULIPYOKE_SRC_SESSIONS_COMMITS_HPP_
