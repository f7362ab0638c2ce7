#include "adapter/instances.hpp"

#include <exception>
#include <utility>

#include "adapter/settings_parser.hpp"

namespace tulipyoke::wire {

void Instances::Pass(Micros now, std::uint16_t instance, const Event& event, std::vector<Reply>& replies) {
  const auto it = routers_.find(instance);
  if (it == routers_.end()) return;  // stopped: nobody is left to act
  std::vector<Action> actions;
  try {
    it->second.handle(now, event, actions);
  } catch (const std::exception& error) {
    replies.push_back({instance, InstanceBroken{error.what()}});
    return;
  }
  for (Action& action : actions) replies.push_back({instance, std::move(action)});
}

std::string Instances::HandleBatch(const BatchHeader& header, std::string_view body) {
  const auto now = static_cast<Micros>(header.now);
  std::vector<Reply> replies;
  for (std::uint32_t i = 0; i < header.records; ++i) {
    Record record = ParseRecord(header, body, i);
    const std::uint16_t instance = record.instance;
    if (const auto* started = std::get_if<InstanceStarted>(&record.payload)) {
      routers_.insert_or_assign(instance, Router(ParseSettings(started->options), started->seed));
    } else if (std::holds_alternative<InstanceStopped>(record.payload)) {
      routers_.erase(instance);
      std::erase_if(replies, [&](const Reply& reply) { return reply.instance == instance; });
    } else if (auto* defined = std::get_if<ListDefined>(&record.payload)) {
      banks_[defined->bank] = std::move(defined->entries);
    } else if (const auto* list = std::get_if<ListAnnounced>(&record.payload)) {
      EndpointListUpdate news{list->kind, list->version, {}};
      if (list->kind != EndpointListKind::kFailed) {
        if (list->bank >= kListBanks)
          throw FormatError("no list has the number " + std::to_string(list->bank));
        news.entries = banks_[list->bank];
      }
      Pass(now, instance, news, replies);
    } else {
      Pass(now, instance, std::get<Event>(record.payload), replies);
    }
  }
  return EncodeReply(header.number, replies);
}

}  // namespace tulipyoke::wire
