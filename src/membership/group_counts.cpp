#include "src/membership/group_counts.hpp"

namespace tulipyoke::membership {

std::size_t GroupCounts::InService(int group) const {
  const auto it = counts_.find(group);
  return it == counts_.end() ? 0 : it->second.in_service;
}

bool GroupCounts::MaySuppress(int group) const {
  const auto it = counts_.find(group);
  return it != counts_.end() && it->second.in_service > it->second.suppressed;
}

std::set<int> GroupCounts::OverSuppressedGroups() const {
  std::set<int> groups;
  for (const auto& [group, counts] : counts_) {
    if (counts.suppressed > 0 && counts.in_service <= counts.suppressed) groups.insert(group);
  }
  return groups;
}

void GroupCounts::RemoveEmpty() {
  std::erase_if(counts_,
                [](const auto& item) { return item.second.in_service == 0 && item.second.suppressed == 0; });
}

}  // namespace tulipyoke::membership
