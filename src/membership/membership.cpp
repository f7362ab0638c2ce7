#include "src/membership/membership.hpp"

#include <algorithm>
#include <utility>

namespace tulipyoke::membership {
namespace {

constexpr Micros kMillisecond = 1000;

// A start that is not told, of a server that stood there when its source was first heard.
constexpr std::int64_t kLongAgoMs = 1;

bool Names(Word word) { return word == Word::kReady || word == Word::kDraining; }
bool Drains(Word word) { return word == Word::kVanished || word == Word::kDraining; }

}  // namespace

const char* ToText(Reason reason) {
  switch (reason) {
    case Reason::kReady:
      return "in service";
    case Reason::kWaiting:
      return "waits to be let in";
    case Reason::kTold:
      return "terminating";
    case Reason::kVanished:
      return "vanished";
    case Reason::kHeldDown:
      return "held down for flapping";
  }
  return "";
}

Membership::Membership(const Options& options, std::vector<std::string> sources)
    : options_(options),
      sources_(std::move(sources)),
      heard_(sources_.size(), false),
      admission_(options.admission) {}

void Membership::Heard(Micros now, std::size_t source, const EndpointList& listing) {
  Read(now, source, listing);
  heard_[source] = true;
  Tick(now);
}

void Membership::Remember(Micros now, std::size_t source, const EndpointList& listing) {
  Read(now, source, listing);
}

void Membership::Read(Micros now, std::size_t source, const EndpointList& listing) {
  if (listing.complete) {
    std::set<std::string> named;
    for (const ListedServer& listed : listing.servers) {
      if (listed.state != ServerState::kGone) named.insert(listed.id);
    }
    for (Entry& entry : servers_) {
      if (Names(entry.second.claims[source].word) && !named.contains(entry.first)) Vanish(now, source, entry);
    }
  }
  for (const ListedServer& listed : listing.servers) {
    if (listed.state != ServerState::kGone) {
      Take(now, source, listed);
    } else if (const auto it = servers_.find(listed.id); it != servers_.end()) {
      if (Names(it->second.claims[source].word)) Vanish(now, source, *it);
    }
  }
}

void Membership::Dropped(Micros now, std::size_t source) {
  for (Entry& entry : servers_) {
    Claim& claim = entry.second.claims[source];
    if (claim.word == Word::kNothing) continue;
    // Who nobody else names has lost its last word for service, which is no reason to serve on there.
    claim = Names(claim.word) && !std::any_of(entry.second.claims.begin(), entry.second.claims.end(),
                                              [&](const Claim& c) { return &c != &claim && Names(c.word); })
                ? Claim{Word::kVanished, claim.listed, now}
                : Claim();
    Judge(now, entry);
  }
  heard_[source] = false;
  Tick(now);
}

void Membership::Take(Micros now, std::size_t source, const ListedServer& listed) {
  if (!servers_.contains(listed.id) && servers_.size() >= options_.most_servers) {
    ++counters_.over;
    return;
  }
  Entry& entry = *servers_.try_emplace(listed.id).first;
  Server& server = entry.second;
  const bool fresh = server.claims.empty();
  server.claims.resize(sources_.size());
  Claim& claim = server.claims[source];
  const Word before = claim.word;
  const Word word = listed.state == ServerState::kReady ? Word::kReady : Word::kDraining;
  if (word != before) claim.since = now;
  claim.word = word;
  claim.listed = listed;
  NoteProcess(now, source, server, before);
  // What a source knew from the start has served for a while unless it says otherwise; the rest waits.
  const bool started_now = server.started_ms * kMillisecond > now - options_.warm_after;
  if (fresh && !heard_[source] && !started_now) {
    server.let_in = true;
    if (server.started_ms == 0) server.started_ms = kLongAgoMs;
  }
  if (before == Word::kVanished && word == Word::kReady) ++counters_.returned;
  Judge(now, entry);
}

void Membership::Vanish(Micros now, std::size_t source, Entry& entry) {
  Claim& claim = entry.second.claims[source];
  // Who was draining was expected to go.
  if (claim.word == Word::kReady && Vanished(options_.flapping, entry.second.flaps, now)) {
    ++counters_.held_down;
  }
  claim.word = Word::kVanished;
  claim.since = now;
  ++counters_.vanished;
  Judge(now, entry);
}

const Membership::Claim* Membership::Placing(const Server& server) const {
  const Claim* last = nullptr;
  for (const Claim& claim : server.claims) {
    if (Names(claim.word)) return &claim;
    if (claim.word == Word::kVanished && (!last || claim.since > last->since)) last = &claim;
  }
  return last;
}

bool Membership::Named(const Server& server) const {
  return std::any_of(server.claims.begin(), server.claims.end(),
                     [](const Claim& claim) { return Names(claim.word); });
}

// A process that just started must not be taken for the warm one that had its name before: in doubt it is
// new.
void Membership::NoteProcess(Micros now, std::size_t source, Server& server, Word before) {
  const Claim& claim = server.claims[source];
  const Claim& placing = *Placing(server);
  const bool known = !server.address.empty();
  const bool moved = known && placing.listed.address != server.address;
  if (claim.listed.started_unix_ms > server.told_started_ms) {
    if (known && claim.listed.started_unix_ms > server.started_ms) ++counters_.restarts;
    server.started_ms = std::max(server.started_ms, claim.listed.started_unix_ms);
    server.told_started_ms = claim.listed.started_unix_ms;
    // Another source's word that the former process has gone says nothing of this one.
    for (Claim& other : server.claims) {
      if (other.word == Word::kVanished && other.since <= server.told_started_ms * kMillisecond) {
        other.word = Word::kNothing;
      }
    }
  } else if (moved || (before == Word::kVanished && claim.listed.started_unix_ms == 0)) {
    ++counters_.restarts;
    server.started_ms = now / kMillisecond;
  }
  if (moved) ++counters_.moved;
  server.address = placing.listed.address;
}

// Holding down must not empty a set: where as many are held as are left, the flapping is not the servers'.
bool Membership::HoldsDown(const Server& server) const {
  if (!server.flaps.held) return false;
  const auto count = groups_.find(Placing(server)->listed.group);
  return count != groups_.end() && count->second.ready > count->second.held;
}

Reason Membership::ReasonFor(const Server& server) const {
  const auto says = [&](Word word) {
    return std::any_of(server.claims.begin(), server.claims.end(),
                       [&](const Claim& claim) { return claim.word == word; });
  };
  if (says(Word::kVanished)) return Reason::kVanished;
  if (says(Word::kDraining)) return Reason::kTold;
  if (HoldsDown(server)) return Reason::kHeldDown;
  return server.let_in ? Reason::kReady : Reason::kWaiting;
}

void Membership::SetReason(Micros now, Server& server, Reason reason) {
  if (server.reason == reason && server.since != 0) return;
  if (server.reason == Reason::kHeldDown) --groups_[server.held_in].held;
  server.held_in = Placing(server)->listed.group;
  if (reason == Reason::kHeldDown) ++groups_[server.held_in].held;
  server.reason = reason;
  server.since = now;
}

void Membership::Judge(Micros now, Entry& entry) {
  Server& server = entry.second;
  Review(options_.flapping, server.flaps, now);
  const Claim* placing = Placing(server);
  if (!placing) {  // no source says anything of it any more
    Tell(entry, std::nullopt);
    Arm(entry, now);
    return;
  }
  const bool drained = std::any_of(server.claims.begin(), server.claims.end(),
                                   [](const Claim& claim) { return Drains(claim.word); });
  const bool ready = std::any_of(server.claims.begin(), server.claims.end(),
                                 [](const Claim& claim) { return claim.word == Word::kReady; });
  if (drained && ready && !server.disputed) ++counters_.disagreed;
  server.disputed = drained && ready;

  Reason reason = ReasonFor(server);
  if (reason == Reason::kWaiting && server.told) {
    // It is on the list already, draining: coming back, it is no newcomer.
    server.let_in = true;
    reason = Reason::kReady;
  }
  const Reason was = server.reason;
  SetReason(now, server, reason);
  const int group = placing->listed.group;
  if (server.queued_for >= 0 && (reason != Reason::kWaiting || server.queued_for != group)) {
    admission_.Leave(entry.first, std::exchange(server.queued_for, -1));
  }
  if (reason == Reason::kWaiting && server.queued_for < 0) {
    admission_.Wait(entry.first, group);
    server.queued_for = group;
  }

  ListedServer listed = placing->listed;
  listed.started_unix_ms = server.started_ms;
  listed.state = reason == Reason::kReady ? ServerState::kReady : ServerState::kDraining;
  if (reason != Reason::kVanished) {
    server.away_since = 0;
  } else if (server.away_since == 0 || was != Reason::kVanished) {
    server.away_since = now;
  }
  const bool lingers = reason != Reason::kVanished || now < server.away_since + options_.linger;
  if (reason == Reason::kReady || (server.told && lingers)) {
    Tell(entry, listed);
  } else {
    Tell(entry, std::nullopt);
  }
  if (reason == Reason::kVanished) {
    Arm(entry, server.away_since + (lingers ? options_.linger : options_.linger + options_.memory));
  } else if (server.flaps.held) {
    Arm(entry, std::max(now + 1, FreeAt(options_.flapping, server.flaps)));
  } else {
    Arm(entry, 0);
  }
}

void Membership::Tell(Entry& entry, std::optional<ListedServer> listed) {
  Server& server = entry.second;
  if (server.told == listed) return;
  const auto count = [&](const std::optional<ListedServer>& told, int step) {
    if (told && told->state == ServerState::kReady)
      groups_[told->group].ready += static_cast<std::size_t>(step);
  };
  // Another set or another place: what the old one has shown, its position in the log above all, must not be
  // believed of the new one. Gone first, it gets a new number there.
  if (server.told &&
      (!listed || listed->group != server.told->group || listed->address != server.told->address)) {
    changes_.push_back(*server.told);
    changes_.back().state = ServerState::kGone;
  }
  count(server.told, -1);
  count(listed, 1);
  if (!listed) server.let_in = false;
  server.told = std::move(listed);
  if (server.told) changes_.push_back(*server.told);
}

void Membership::Arm(Entry& entry, Micros when) {
  Server& server = entry.second;
  if (server.due == when) return;
  if (server.due != 0) due_.erase({server.due, entry.first});
  server.due = when;
  if (when != 0) due_.emplace(when, entry.first);
}

void Membership::Tick(Micros now) {
  while (!due_.empty() && due_.begin()->first <= now) {
    const auto it = servers_.find(due_.begin()->second);
    due_.erase(due_.begin());
    it->second.due = 0;
    Server& server = it->second;
    const bool over = !Placing(server) || (server.reason == Reason::kVanished && !Named(server) &&
                                           now >= server.away_since + options_.linger + options_.memory);
    if (!over) {
      Judge(now, *it);
      // Another source names it still: the drain holds until one of them says more.
      if (it->second.due != 0 && it->second.due <= now) Arm(*it, 0);
      continue;
    }
    Tell(*it, std::nullopt);
    if (server.queued_for >= 0) admission_.Leave(it->first, server.queued_for);
    if (server.reason == Reason::kHeldDown) --groups_[server.held_in].held;
    servers_.erase(it);
    std::erase_if(groups_, [](const auto& item) { return item.second.ready == 0 && item.second.held == 0; });
  }
  FreeHeld(now);
  Admit(now);
}

void Membership::Admit(Micros now) {
  const auto ready = [&](int group) {
    const auto it = groups_.find(group);
    return it == groups_.end() ? std::size_t{0} : it->second.ready;
  };
  while (const auto id = admission_.Next(now, ready)) {
    Entry& entry = *servers_.find(*id);
    entry.second.queued_for = -1;
    entry.second.let_in = true;
    ++counters_.admitted;
    Judge(now, entry);
  }
}

void Membership::FreeHeld(Micros now) {
  std::set<int> short_of;
  for (const auto& [group, count] : groups_) {
    if (count.held > 0 && count.ready <= count.held) short_of.insert(group);
  }
  if (short_of.empty()) return;
  for (Entry& entry : servers_) {
    const bool held = entry.second.reason == Reason::kHeldDown;
    if (held && short_of.contains(Placing(entry.second)->listed.group)) Judge(now, entry);
  }
}

std::optional<Micros> Membership::NextDue() const {
  std::optional<Micros> due = admission_.NextDue();
  if (!due_.empty() && (!due || due_.begin()->first < *due)) due = due_.begin()->first;
  return due;
}

std::optional<EndpointList> Membership::TakeListing() {
  if (changes_.empty()) return std::nullopt;
  EndpointList listing;
  listing.version = ++version_;
  listing.servers = std::exchange(changes_, {});
  return listing;
}

std::vector<ServerView> Membership::View() const {
  std::vector<ServerView> view;
  for (const auto& [id, server] : servers_) {
    const Claim* placing = Placing(server);
    if (!placing) continue;
    ServerView row{placing->listed, server.reason, {}, server.since};
    row.listed.started_unix_ms = server.started_ms;
    for (std::size_t i = 0; i < server.claims.size(); ++i) {
      const Word word = server.claims[i].word;
      if (word != Word::kNothing) row.sources.push_back((Drains(word) ? "-" : "") + sources_[i]);
    }
    view.push_back(std::move(row));
  }
  return view;
}

}  // namespace tulipyoke::membership
