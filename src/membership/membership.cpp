#include "src/membership/membership.hpp"

#include <algorithm>
#include <set>

namespace tulipyoke::membership {
namespace {

constexpr Micros kMicrosPerMillisecond = 1000;

// The start time assumed for a process that was already running at its source's first listing, if no start
// time was announced for it.
constexpr std::int64_t kAssumedStartMs = 1;

}  // namespace

Membership::Membership(const Options& options, std::vector<std::string> sources)
    : options_(options),
      sources_(std::move(sources)),
      has_listed_(sources_.size(), false),
      admission_(options.admission) {}

void Membership::ApplyListing(Micros now, std::size_t source, const EndpointList& listing) {
  MergeListing(now, source, listing);
  has_listed_[source] = true;
  Tick(now);
}

void Membership::RestoreListing(Micros now, std::size_t source, const EndpointList& listing) {
  MergeListing(now, source, listing);
}

void Membership::MergeListing(Micros now, std::size_t source, const EndpointList& listing) {
  if (listing.complete) WithdrawMissing(now, source, listing);
  for (const ListedServer& listed : listing.servers) {
    if (listed.state != ServerState::kGone) {
      Announce(now, source, listed);
      continue;
    }
    const auto it = servers_.find(listed.id);
    if (it != servers_.end() && IsAnnounced(it->second.records[source].state)) Withdraw(now, source, *it);
  }
}

void Membership::WithdrawMissing(Micros now, std::size_t source, const EndpointList& listing) {
  std::set<std::string> listed_ids;
  for (const ListedServer& listed : listing.servers) {
    if (listed.state != ServerState::kGone) listed_ids.insert(listed.id);
  }
  for (Entry& entry : servers_) {
    const bool announced = IsAnnounced(entry.second.records[source].state);
    if (announced && !listed_ids.contains(entry.first)) Withdraw(now, source, entry);
  }
}

void Membership::Announce(Micros now, std::size_t source, const ListedServer& listed) {
  if (!servers_.contains(listed.id) && servers_.size() >= options_.max_servers) {
    ++counters_.over_limit;
    return;
  }
  Entry& entry = *servers_.try_emplace(listed.id).first;
  Server& server = entry.second;
  const bool first_seen = server.records.empty();
  server.records.resize(sources_.size());
  SourceRecord& record = server.records[source];
  const SourceState previous_state = record.state;
  const SourceState state =
      listed.state == ServerState::kReady ? SourceState::kReady : SourceState::kDraining;
  if (state != previous_state) record.since = now;
  record.state = state;
  record.listed = listed;
  TrackProcess(now, source, previous_state, server);
  if (first_seen && !has_listed_[source]) AssumeAdmitted(now, server);
  if (previous_state == SourceState::kVanished && state == SourceState::kReady) ++counters_.returned;
  Evaluate(now, entry);
}

void Membership::Withdraw(Micros now, std::size_t source, Entry& entry) {
  Server& server = entry.second;
  SourceRecord& record = server.records[source];
  // The withdrawal of a draining server is expected and does not count as flapping.
  const bool unexpected = record.state == SourceState::kReady;
  if (unexpected && server.flap_history.RecordWithdrawal(options_.flap_damping, now)) ++counters_.suppressed;
  record.state = SourceState::kVanished;
  record.since = now;
  ++counters_.vanished;
  Evaluate(now, entry);
}

void Membership::TrackProcess(Micros now, std::size_t source, SourceState previous_state, Server& server) {
  const ProcessChange change = DetectRestart(now, server.records, source, previous_state, server.process);
  if (change.restarted) ++counters_.restarts;
  if (change.moved) ++counters_.moved;
}

// The servers in a source's first listing are assumed to be in service already, unless their start time says
// that they are still cold. Only servers that appear later wait for admission.
void Membership::AssumeAdmitted(Micros now, Server& server) {
  const bool cold = server.process.start_ms * kMicrosPerMillisecond > now - options_.warm_up_time;
  if (cold) return;
  server.admitted = true;
  if (server.process.start_ms == 0) server.process.start_ms = kAssumedStartMs;
}

void Membership::RemoveSource(Micros now, std::size_t source) {
  for (Entry& entry : servers_) {
    SourceRecords& records = entry.second.records;
    SourceRecord removed = std::exchange(records[source], SourceRecord());
    if (removed.state == SourceState::kUnknown) continue;
    // A server that no other source announces has lost its last announcement and must not stay in service.
    if (IsAnnounced(removed.state) && !IsAnnouncedByAny(records)) {
      records[source] = {SourceState::kVanished, std::move(removed.listed), now};
    }
    Evaluate(now, entry);
  }
  has_listed_[source] = false;
  Tick(now);
}

void Membership::Evaluate(Micros now, Entry& entry) {
  auto& [id, server] = entry;
  server.flap_history.Update(options_.flap_damping, now);
  if (!AuthoritativeRecord(server.records)) {
    Publish(server, std::nullopt);
    wakeups_.Set(id, now);
    return;
  }
  UpdateConflict(server);
  ServerStatus status = DetermineStatus(server);
  if (status == ServerStatus::kAwaitingAdmission && server.published) {
    // The server is still published as draining, so it has returned and is not new.
    server.admitted = true;
    status = ServerStatus::kInService;
  }
  SetStatus(now, server, status);
  UpdateAdmissionQueue(id, server);
  server.vanish_timer.Update(status == ServerStatus::kVanished, now);
  Publish(server, ListingFor(now, server));
  wakeups_.Set(id, NextEvaluation(now, server));
}

void Membership::UpdateConflict(Server& server) {
  const bool conflicting = IsConflicting(server.records);
  if (conflicting && !server.conflicting) ++counters_.conflicts;
  server.conflicting = conflicting;
}

ServerStatus Membership::DetermineStatus(const Server& server) const {
  if (HasState(server.records, SourceState::kVanished)) return ServerStatus::kVanished;
  if (HasState(server.records, SourceState::kDraining)) return ServerStatus::kTerminating;
  const int group = AuthoritativeRecord(server.records)->listed.group;
  if (server.flap_history.suppressed() && groups_.MaySuppress(group)) return ServerStatus::kSuppressed;
  return server.admitted ? ServerStatus::kInService : ServerStatus::kAwaitingAdmission;
}

void Membership::SetStatus(Micros now, Server& server, ServerStatus status) {
  if (server.status == status && server.status_since) return;
  if (server.status == ServerStatus::kSuppressed) groups_.RemoveSuppressed(server.suppressed_group);
  server.suppressed_group = AuthoritativeRecord(server.records)->listed.group;
  if (status == ServerStatus::kSuppressed) groups_.AddSuppressed(server.suppressed_group);
  server.status = status;
  server.status_since = now;
}

void Membership::UpdateAdmissionQueue(const std::string& id, Server& server) {
  std::optional<int> group;
  if (server.status == ServerStatus::kAwaitingAdmission)
    group = AuthoritativeRecord(server.records)->listed.group;
  if (server.queued_group == group) return;
  if (server.queued_group) admission_.Remove(id, *server.queued_group);
  if (group) admission_.Enqueue(id, *group);
  server.queued_group = group;
}

// A server that is not in service is listed as draining only if it is already published, so that its requests
// can finish.
std::optional<ListedServer> Membership::ListingFor(Micros now, const Server& server) const {
  const bool in_service = server.status == ServerStatus::kInService;
  const bool still_draining = server.published && server.vanish_timer.IsListed(options_.vanish, now);
  if (!in_service && !still_draining) return std::nullopt;
  ListedServer listed = AuthoritativeRecord(server.records)->listed;
  listed.started_unix_ms = server.process.start_ms;
  listed.state = in_service ? ServerState::kReady : ServerState::kDraining;
  return listed;
}

std::optional<Micros> Membership::NextEvaluation(Micros now, const Server& server) const {
  if (server.status == ServerStatus::kVanished) return server.vanish_timer.NextChange(options_.vanish, now);
  if (!server.flap_history.suppressed()) return std::nullopt;
  return std::max(now + 1, server.flap_history.ReuseTime(options_.flap_damping));
}

void Membership::Publish(Server& server, std::optional<ListedServer> listed) {
  if (server.published == listed) return;
  const std::optional<ListedServer> before = std::exchange(server.published, std::move(listed));
  const std::optional<ListedServer>& after = server.published;
  // State kept per server, such as its replication position, must not carry over to another group or address.
  // The server is therefore removed and then added as a new one.
  if (before && (!after || after->group != before->group || after->address != before->address)) {
    changes_.push_back(*before);
    changes_.back().state = ServerState::kGone;
  }
  if (before && before->state == ServerState::kReady) groups_.RemoveInService(before->group);
  if (after && after->state == ServerState::kReady) groups_.AddInService(after->group);
  if (after) {
    changes_.push_back(*after);
  } else {
    server.admitted = false;
  }
}

void Membership::Tick(Micros now) {
  while (const std::optional<std::string> id = wakeups_.PopDue(now)) HandleWakeup(now, *servers_.find(*id));
  ReevaluateOverSuppressed(now);
  AdmitQueued(now);
}

void Membership::HandleWakeup(Micros now, Entry& entry) {
  if (ShouldErase(now, entry.second)) return EraseServer(entry);
  Evaluate(now, entry);
  // If another source still announces the server, it stays drained until a source changes its record, so
  // there is nothing to wake up for.
  const std::optional<Micros> next = wakeups_.TimeOf(entry.first);
  if (next && *next <= now) wakeups_.Set(entry.first, std::nullopt);
}

bool Membership::ShouldErase(Micros now, const Server& server) const {
  if (!AuthoritativeRecord(server.records)) return true;
  return !IsAnnouncedByAny(server.records) && server.vanish_timer.IsExpired(options_.vanish, now);
}

void Membership::EraseServer(Entry& entry) {
  Server& server = entry.second;
  Publish(server, std::nullopt);
  if (server.queued_group) admission_.Remove(entry.first, *server.queued_group);
  if (server.status == ServerStatus::kSuppressed) groups_.RemoveSuppressed(server.suppressed_group);
  const std::string id = entry.first;
  servers_.erase(id);
  groups_.RemoveEmpty();
}

// Evaluates the suppressed servers of groups that have too many of them again, so that the remaining servers
// do not carry the whole load.
void Membership::ReevaluateOverSuppressed(Micros now) {
  const std::set<int> groups = groups_.OverSuppressedGroups();
  if (groups.empty()) return;
  for (Entry& entry : servers_) {
    const Server& server = entry.second;
    if (server.status != ServerStatus::kSuppressed) continue;
    if (groups.contains(AuthoritativeRecord(server.records)->listed.group)) Evaluate(now, entry);
  }
}

void Membership::AdmitQueued(Micros now) {
  const auto in_service = [this](int group) { return groups_.InService(group); };
  while (const std::optional<std::string> id = admission_.AdmitNext(now, in_service)) {
    Entry& entry = *servers_.find(*id);
    entry.second.queued_group.reset();
    entry.second.admitted = true;
    ++counters_.admitted;
    Evaluate(now, entry);
  }
}

std::optional<Micros> Membership::NextDue() const {
  const std::optional<Micros> admission = admission_.NextDue();
  const std::optional<Micros> wakeup = wakeups_.NextDue();
  if (!admission || !wakeup) return admission ? admission : wakeup;
  return std::min(*admission, *wakeup);
}

std::optional<EndpointList> Membership::TakeListing() {
  if (changes_.empty()) return std::nullopt;
  EndpointList listing;
  listing.version = ++version_;
  listing.servers = std::exchange(changes_, {});
  return listing;
}

std::vector<ServerView> Membership::ServerViews() const {
  std::vector<ServerView> views;
  for (const auto& [id, server] : servers_) {
    const SourceRecord* authoritative = AuthoritativeRecord(server.records);
    if (!authoritative) continue;
    ServerView view{authoritative->listed, server.status, {}, server.status_since.value_or(0)};
    view.listed.started_unix_ms = server.process.start_ms;
    for (std::size_t i = 0; i < server.records.size(); ++i) {
      const SourceState state = server.records[i].state;
      if (state != SourceState::kUnknown) view.sources.push_back((IsDrained(state) ? "-" : "") + sources_[i]);
    }
    views.push_back(std::move(view));
  }
  return views;
}

}  // namespace tulipyoke::membership
