#include "adapter/router_instances.hpp"

#include <exception>
#include <utility>
#include <variant>

#include "adapter/settings_parser.hpp"

namespace tulipyoke::wire {

Decoded<std::string> RouterInstances::HandleBatch(const BatchHeader& header, std::string_view body) {
  const auto now = static_cast<Micros>(header.now);
  Actions actions;
  for (std::uint32_t index = 0; index < header.record_count; ++index) {
    Decoded<Record> decoded = DecodeRecord(header, body, index);
    if (const auto* error = std::get_if<FormatError>(&decoded)) return *error;
    if (const auto error = HandleRecord(now, std::get<Record>(decoded), actions)) return *error;
  }
  return EncodeReply(header.number, actions);
}

std::optional<FormatError> RouterInstances::HandleRecord(Micros now, Record& record, Actions& actions) {
  if (const auto* started = std::get_if<InstanceStarted>(&record.payload)) {
    return Start(record.instance, *started);
  }
  if (const auto* announced = std::get_if<ListAnnounced>(&record.payload)) {
    return AnnounceList(now, record.instance, *announced, actions);
  }
  if (std::holds_alternative<InstanceStopped>(record.payload)) {
    Stop(record.instance, actions);
  } else if (auto* defined = std::get_if<ListDefined>(&record.payload)) {
    lists_.at(defined->slot) = std::move(defined->entries);
  } else {
    Deliver(now, record.instance, std::get<Event>(record.payload), actions);
  }
  return std::nullopt;
}

std::optional<FormatError> RouterInstances::Start(std::uint16_t instance, const InstanceStarted& started) {
  const Decoded<Settings> settings = ParseSettings(started.settings_text);
  if (const auto* error = std::get_if<FormatError>(&settings)) return *error;
  routers_.insert_or_assign(instance, Router(std::get<Settings>(settings), started.seed));
  return std::nullopt;
}

void RouterInstances::Stop(std::uint16_t instance, Actions& actions) {
  routers_.erase(instance);
  std::erase_if(actions, [&](const InstanceAction& action) { return action.instance == instance; });
}

std::optional<FormatError> RouterInstances::AnnounceList(Micros now, std::uint16_t instance,
                                                         const ListAnnounced& announced, Actions& actions) {
  EndpointListUpdate update{announced.kind, announced.version, {}};
  if (announced.kind != EndpointListKind::kFailed) {
    if (announced.slot >= kListSlotCount) {
      return FormatError{FormatErrorCode::kUnknownListSlot, announced.slot, {}};
    }
    update.entries = lists_.at(announced.slot);
  }
  Deliver(now, instance, update, actions);
  return std::nullopt;
}

void RouterInstances::Deliver(Micros now, std::uint16_t instance, const Event& event, Actions& actions) {
  const auto router = routers_.find(instance);
  if (router == routers_.end()) return;
  std::vector<Action> requested;
  try {
    router->second.handle(now, event, requested);
  } catch (const std::exception& error) {
    actions.push_back({instance, InstanceFailed{error.what()}});
    return;
  }
  for (Action& action : requested) actions.push_back({instance, std::move(action)});
}

}  // namespace tulipyoke::wire
