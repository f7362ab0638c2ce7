// How many servers of each group are in service and how many are suppressed for flapping.
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
  // Suppression must not empty a group: where as many servers are suppressed as are in service, the cause is
  // not the single server.
  bool MaySuppress(int group) const;
  // The groups with suppressed servers in which no more may be suppressed.
  std::set<int> OverSuppressed() const;
  // Forgets groups without any server.
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
