// Counts the servers of each group that are in service and those that are suppressed for flapping.
#ifndef TULIPYOKE_SRC_MEMBERSHIP_GROUP_COUNTS_HPP_
#define TULIPYOKE_SRC_MEMBERSHIP_GROUP_COUNTS_HPP_

#include <cstddef>
#include <map>
#include <set>

namespace tulipyoke::membership {

class GroupCounts {
 public:
  void AddInService(int group) { ++counts_[group].in_service; }
  void RemoveInService(int group) { --counts_[group].in_service; }
  void AddSuppressed(int group) { ++counts_[group].suppressed; }
  void RemoveSuppressed(int group) { --counts_[group].suppressed; }

  std::size_t InService(int group) const;
  // Returns true if one more server of the group may be suppressed. If as many servers are suppressed as are
  // in service, the cause is probably not the individual server, and suppression must not empty the group.
  bool MaySuppress(int group) const;
  // Returns the groups that have suppressed servers, but at most as many in service as suppressed.
  std::set<int> OverSuppressedGroups() const;
  // Erases the groups in which no server is in service or suppressed.
  void RemoveEmpty();

 private:
  struct Counts {
    std::size_t in_service = 0;
    std::size_t suppressed = 0;
  };

  std::map<int, Counts> counts_;
};

}  // namespace tulipyoke::membership

#endif  // TULIPYOKE_SRC_MEMBERSHIP_GROUP_COUNTS_HPP_
