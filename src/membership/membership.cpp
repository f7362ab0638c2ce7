#include "src/membership/membership.hpp"

#include <algorithm>
#include <utility>

namespace tulipyoke::membership {
namespace {

constexpr Micros kMillisecond = 1000;

// A start that is not published, of a server that stood there when its source was first heard.
constexpr std::int64_t kLongRunningStartMs = 1;

bool Announces(SourceState state) { return state == SourceState::kReady || state == SourceState::kDraining; }
bool Drains(SourceState state) { return state == SourceState::kVanished || state == SourceState::kDraining; }

}  // namespace

const char* ToText(Reason reason) {
  switch (reason) {
    case Reason::kInService:
      return "in service";
    case Reason::kAwaitingAdmission:
      return "waits to be let in";
    case Reason::kTerminating:
      return "terminating";
    case Reason::kVanished:
      return "vanished";
    case Reason::kSuppressed:
      return "held down for flapping";
  }
  return "";
}

Membership::Membership(const Options& options, std::vector<std::string> sources)
    : options_(options),
      sources_(std::move(sources)),
      source_has_list_(sources_.size(), false),
      admission_(options.admission) {}

void Membership::ApplyListing(Micros now, std::size_t source, const Listing& listing) {
  Merge(now, source, listing);
  source_has_list_[source] = true;
  Tick(now);
}

void Membership::RestoreListing(Micros now, std::size_t source, const Listing& listing) {
  Merge(now, source, listing);
}

void Membership::Merge(Micros now, std::size_t source, const Listing& listing) {
  if (listing.complete) {
    std::set<std::string> named;
    for (const ListedServer& listed : listing.servers) {
      if (listed.state != ServerState::kGone) named.insert(listed.id);
    }
    for (Entry& entry : servers_) {
      if (Announces(entry.second.records[source].state) && !named.contains(entry.first))
        ApplyRemoval(now, source, entry);
    }
  }
  for (const ListedServer& listed : listing.servers) {
    if (listed.state != ServerState::kGone) {
      ApplyAnnouncement(now, source, listed);
    } else if (const auto it = servers_.find(listed.id); it != servers_.end()) {
      if (Announces(it->second.records[source].state)) ApplyRemoval(now, source, *it);
    }
  }
}

void Membership::RemoveSource(Micros now, std::size_t source) {
  for (Entry& entry : servers_) {
    SourceRecord& record = entry.second.records[source];
    if (record.state == SourceState::kUnknown) continue;
    // Who nobody else names has lost its last word for service, which is no reason to serve on there.
    record = Announces(record.state) &&
                     !std::any_of(entry.second.records.begin(), entry.second.records.end(),
                                  [&](const SourceRecord& c) { return &c != &record && Announces(c.state); })
                 ? SourceRecord{SourceState::kVanished, record.listed, now}
                 : SourceRecord();
    Evaluate(now, entry);
  }
  source_has_list_[source] = false;
  Tick(now);
}

void Membership::ApplyAnnouncement(Micros now, std::size_t source, const ListedServer& listed) {
  if (!servers_.contains(listed.id) && servers_.size() >= options_.max_servers) {
    ++counters_.over_limit;
    return;
  }
  Entry& entry = *servers_.try_emplace(listed.id).first;
  Server& server = entry.second;
  const bool first_seen = server.records.empty();
  server.records.resize(sources_.size());
  SourceRecord& record = server.records[source];
  const SourceState before = record.state;
  const SourceState state =
      listed.state == ServerState::kReady ? SourceState::kReady : SourceState::kDraining;
  if (state != before) record.since = now;
  record.state = state;
  record.listed = listed;
  DetectRestart(now, source, server, before);
  // What a source knew from the start has served for a while unless it says otherwise; the rest waits.
  const bool started_now = server.start_ms * kMillisecond > now - options_.warm_up_time;
  if (first_seen && !source_has_list_[source] && !started_now) {
    server.admitted = true;
    if (server.start_ms == 0) server.start_ms = kLongRunningStartMs;
  }
  if (before == SourceState::kVanished && state == SourceState::kReady) ++counters_.returned;
  Evaluate(now, entry);
}

void Membership::ApplyRemoval(Micros now, std::size_t source, Entry& entry) {
  SourceRecord& record = entry.second.records[source];
  // Who was draining was expected to go.
  if (record.state == SourceState::kReady &&
      RecordWithdrawal(options_.flap_damping, entry.second.flap_history, now)) {
    ++counters_.suppressed;
  }
  record.state = SourceState::kVanished;
  record.since = now;
  ++counters_.vanished;
  Evaluate(now, entry);
}

const Membership::SourceRecord* Membership::AuthoritativeRecord(const Server& server) const {
  const SourceRecord* last = nullptr;
  for (const SourceRecord& record : server.records) {
    if (Announces(record.state)) return &record;
    if (record.state == SourceState::kVanished && (!last || record.since > last->since)) last = &record;
  }
  return last;
}

bool Membership::IsAnnounced(const Server& server) const {
  return std::any_of(server.records.begin(), server.records.end(),
                     [](const SourceRecord& record) { return Announces(record.state); });
}

// A process that just started must not be taken for the warm one that had its name before: in doubt it is
// new.
void Membership::DetectRestart(Micros now, std::size_t source, Server& server, SourceState before) {
  const SourceRecord& record = server.records[source];
  const SourceRecord& authoritative = *AuthoritativeRecord(server);
  const bool known = !server.address.empty();
  const bool moved = known && authoritative.listed.address != server.address;
  if (record.listed.started_unix_ms > server.announced_start_ms) {
    if (known && record.listed.started_unix_ms > server.start_ms) ++counters_.restarts;
    server.start_ms = std::max(server.start_ms, record.listed.started_unix_ms);
    server.announced_start_ms = record.listed.started_unix_ms;
    // Another source's word that the former process has gone says nothing of this one.
    for (SourceRecord& other : server.records) {
      if (other.state == SourceState::kVanished && other.since <= server.announced_start_ms * kMillisecond) {
        other.state = SourceState::kUnknown;
      }
    }
  } else if (moved || (before == SourceState::kVanished && record.listed.started_unix_ms == 0)) {
    ++counters_.restarts;
    server.start_ms = now / kMillisecond;
  }
  if (moved) ++counters_.moved;
  server.address = authoritative.listed.address;
}

// Holding down must not empty a set: where as many are held as are left, the flapping is not the servers'.
bool Membership::IsSuppressed(const Server& server) const {
  if (!server.flap_history.suppressed) return false;
  const auto count = groups_.find(AuthoritativeRecord(server)->listed.group);
  return count != groups_.end() && count->second.ready > count->second.suppressed;
}

Reason Membership::DecideReason(const Server& server) const {
  const auto says = [&](SourceState state) {
    return std::any_of(server.records.begin(), server.records.end(),
                       [&](const SourceRecord& record) { return record.state == state; });
  };
  if (says(SourceState::kVanished)) return Reason::kVanished;
  if (says(SourceState::kDraining)) return Reason::kTerminating;
  if (IsSuppressed(server)) return Reason::kSuppressed;
  return server.admitted ? Reason::kInService : Reason::kAwaitingAdmission;
}

void Membership::SetReason(Micros now, Server& server, Reason reason) {
  if (server.reason == reason && server.since != 0) return;
  if (server.reason == Reason::kSuppressed) --groups_[server.suppressed_group].suppressed;
  server.suppressed_group = AuthoritativeRecord(server)->listed.group;
  if (reason == Reason::kSuppressed) ++groups_[server.suppressed_group].suppressed;
  server.reason = reason;
  server.since = now;
}

void Membership::Evaluate(Micros now, Entry& entry) {
  Server& server = entry.second;
  UpdateSuppression(options_.flap_damping, server.flap_history, now);
  const SourceRecord* authoritative = AuthoritativeRecord(server);
  if (!authoritative) {  // no source says anything of it any more
    Publish(entry, std::nullopt);
    ScheduleWakeup(entry, now);
    return;
  }
  const bool drained = std::any_of(server.records.begin(), server.records.end(),
                                   [](const SourceRecord& record) { return Drains(record.state); });
  const bool ready =
      std::any_of(server.records.begin(), server.records.end(),
                  [](const SourceRecord& record) { return record.state == SourceState::kReady; });
  if (drained && ready && !server.conflicting) ++counters_.conflicts;
  server.conflicting = drained && ready;

  Reason reason = DecideReason(server);
  if (reason == Reason::kAwaitingAdmission && server.published) {
    // It is on the list already, draining: coming back, it is no newcomer.
    server.admitted = true;
    reason = Reason::kInService;
  }
  const Reason was = server.reason;
  SetReason(now, server, reason);
  const int group = authoritative->listed.group;
  if (server.queued_group >= 0 && (reason != Reason::kAwaitingAdmission || server.queued_group != group)) {
    admission_.Remove(entry.first, std::exchange(server.queued_group, -1));
  }
  if (reason == Reason::kAwaitingAdmission && server.queued_group < 0) {
    admission_.Enqueue(entry.first, group);
    server.queued_group = group;
  }

  ListedServer listed = authoritative->listed;
  listed.started_unix_ms = server.start_ms;
  listed.state = reason == Reason::kInService ? ServerState::kReady : ServerState::kDraining;
  if (reason != Reason::kVanished) {
    server.vanished_at = 0;
  } else if (server.vanished_at == 0 || was != Reason::kVanished) {
    server.vanished_at = now;
  }
  const bool still_listed = reason != Reason::kVanished || now < server.vanished_at + options_.removal_delay;
  if (reason == Reason::kInService || (server.published && still_listed)) {
    Publish(entry, listed);
  } else {
    Publish(entry, std::nullopt);
  }
  if (reason == Reason::kVanished) {
    ScheduleWakeup(entry, server.vanished_at + (still_listed ? options_.removal_delay
                                                             : options_.removal_delay + options_.retention));
  } else if (server.flap_history.suppressed) {
    ScheduleWakeup(entry, std::max(now + 1, ReuseTime(options_.flap_damping, server.flap_history)));
  } else {
    ScheduleWakeup(entry, 0);
  }
}

void Membership::Publish(Entry& entry, std::optional<ListedServer> listed) {
  Server& server = entry.second;
  if (server.published == listed) return;
  const auto count = [&](const std::optional<ListedServer>& published, int step) {
    if (published && published->state == ServerState::kReady)
      groups_[published->group].ready += static_cast<std::size_t>(step);
  };
  // Another set or another place: what the old one has shown, its position in the log above all, must not be
  // believed of the new one. Gone first, it gets a new number there.
  if (server.published &&
      (!listed || listed->group != server.published->group || listed->address != server.published->address)) {
    changes_.push_back(*server.published);
    changes_.back().state = ServerState::kGone;
  }
  count(server.published, -1);
  count(listed, 1);
  if (!listed) server.admitted = false;
  server.published = std::move(listed);
  if (server.published) changes_.push_back(*server.published);
}

void Membership::ScheduleWakeup(Entry& entry, Micros when) {
  Server& server = entry.second;
  if (server.wakeup == when) return;
  if (server.wakeup != 0) wakeups_.erase({server.wakeup, entry.first});
  server.wakeup = when;
  if (when != 0) wakeups_.emplace(when, entry.first);
}

void Membership::Tick(Micros now) {
  while (!wakeups_.empty() && wakeups_.begin()->first <= now) {
    const auto it = servers_.find(wakeups_.begin()->second);
    wakeups_.erase(wakeups_.begin());
    it->second.wakeup = 0;
    Server& server = it->second;
    const bool over = !AuthoritativeRecord(server) ||
                      (server.reason == Reason::kVanished && !IsAnnounced(server) &&
                       now >= server.vanished_at + options_.removal_delay + options_.retention);
    if (!over) {
      Evaluate(now, *it);
      // Another source names it still: the drain holds until one of them says more.
      if (it->second.wakeup != 0 && it->second.wakeup <= now) ScheduleWakeup(*it, 0);
      continue;
    }
    Publish(*it, std::nullopt);
    if (server.queued_group >= 0) admission_.Remove(it->first, server.queued_group);
    if (server.reason == Reason::kSuppressed) --groups_[server.suppressed_group].suppressed;
    servers_.erase(it);
    std::erase_if(groups_,
                  [](const auto& item) { return item.second.ready == 0 && item.second.suppressed == 0; });
  }
  ReleaseSuppressed(now);
  AdmitWaiting(now);
}

void Membership::AdmitWaiting(Micros now) {
  const auto ready = [&](int group) {
    const auto it = groups_.find(group);
    return it == groups_.end() ? std::size_t{0} : it->second.ready;
  };
  while (const auto id = admission_.AdmitNext(now, ready)) {
    Entry& entry = *servers_.find(*id);
    entry.second.queued_group = -1;
    entry.second.admitted = true;
    ++counters_.admitted;
    Evaluate(now, entry);
  }
}

void Membership::ReleaseSuppressed(Micros now) {
  std::set<int> short_groups;
  for (const auto& [group, count] : groups_) {
    if (count.suppressed > 0 && count.ready <= count.suppressed) short_groups.insert(group);
  }
  if (short_groups.empty()) return;
  for (Entry& entry : servers_) {
    const bool held = entry.second.reason == Reason::kSuppressed;
    if (held && short_groups.contains(AuthoritativeRecord(entry.second)->listed.group)) Evaluate(now, entry);
  }
}

std::optional<Micros> Membership::NextDue() const {
  std::optional<Micros> due = admission_.NextDue();
  if (!wakeups_.empty() && (!due || wakeups_.begin()->first < *due)) due = wakeups_.begin()->first;
  return due;
}

std::optional<Listing> Membership::TakeListing() {
  if (changes_.empty()) return std::nullopt;
  Listing listing;
  listing.version = ++version_;
  listing.servers = std::exchange(changes_, {});
  return listing;
}

std::vector<ServerView> Membership::View() const {
  std::vector<ServerView> view;
  for (const auto& [id, server] : servers_) {
    const SourceRecord* authoritative = AuthoritativeRecord(server);
    if (!authoritative) continue;
    ServerView row{authoritative->listed, server.reason, {}, server.since};
    row.listed.started_unix_ms = server.start_ms;
    for (std::size_t i = 0; i < server.records.size(); ++i) {
      const SourceState state = server.records[i].state;
      if (state != SourceState::kUnknown) row.sources.push_back((Drains(state) ? "-" : "") + sources_[i]);
    }
    view.push_back(std::move(row));
  }
  return view;
}

}  // namespace tulipyoke::membership
