#include "standins/dns_zone.hpp"

#include <algorithm>
#include <stdexcept>

namespace tulipyoke::standins {
namespace {

using dnssd::Owned;

constexpr std::size_t kPlainDatagram = 512;
constexpr std::size_t kRecordsAMessage = 300;  // of a transfer
constexpr std::size_t kDifferencesKept = 64;

Owned<ldns_rr> Parse(const std::string& record) {
  ldns_rr* rr = nullptr;
  if (ldns_rr_new_frm_str(&rr, record.c_str(), 0, nullptr, nullptr) != LDNS_STATUS_OK) {
    throw std::runtime_error("no record: " + record);
  }
  return Owned<ldns_rr>(rr);
}

void Push(ldns_pkt* packet, ldns_pkt_section section, const std::string& record) {
  ldns_pkt_push_rr(packet, section, Parse(record).release());
}

std::string LowerName(const ldns_rdf* name) {
  const Owned<ldns_rdf> copy(ldns_rdf_clone(name));
  ldns_dname2canonical(copy.get());
  return dnssd::TextOf(copy.get());
}

std::string TypeText(ldns_rr_type type) {
  const Owned<char> text(ldns_rr_type2str(type));
  return text.get();
}

std::string LowerText(std::string text) {
  for (char& c : text) c = c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
  return text;
}

std::string KeyOf(const std::string& record) {
  const Owned<ldns_rr> rr = Parse(record);
  return LowerName(ldns_rr_owner(rr.get())) + " " + TypeText(ldns_rr_get_type(rr.get()));
}

std::string Finish(ldns_pkt* packet) {
  std::uint8_t* bytes = nullptr;
  std::size_t size = 0;
  if (ldns_pkt2wire(&bytes, packet, &size) != LDNS_STATUS_OK) throw std::runtime_error("no DNS message");
  const Owned<std::uint8_t> owner(bytes);
  return std::string(reinterpret_cast<const char*>(bytes), size);
}

}  // namespace

DnsZone::DnsZone(const std::string& zone, const std::string& service)
    : zone_name_(LowerText(zone) + "."), service_(LowerText(service)) {}

std::string DnsZone::Soa(std::uint32_t serial) const {
  return zone_name_ + " 10 IN SOA ns." + zone_name_ + " staff." + zone_name_ + " " + std::to_string(serial) +
         " 60 60 3600 5";
}

std::vector<std::string> DnsZone::RecordsOf(const Published& server) const {
  const std::string ttl = " " + std::to_string(server.ttl) + " IN ";
  const std::string browse = service_ + "." + zone_name_;
  const std::string instance = server.label + "." + browse;
  std::string host = server.host;
  if (host.empty()) {
    host = "h" + server.address + "-" + std::to_string(server.port);
    std::replace(host.begin(), host.end(), '.', '-');
    std::replace(host.begin(), host.end(), ':', '-');
    host += "." + zone_name_;
  }
  std::string text;
  for (const std::string& item : server.text) text += " \"" + item + "\"";
  const bool v6 = server.address.find(':') != std::string::npos;
  return {browse + ttl + "PTR " + instance,
          instance + ttl + "SRV 0 0 " + std::to_string(server.port) + " " + host,
          instance + ttl + "TXT" + (text.empty() ? " \"\"" : text),
          host + ttl + (v6 ? "AAAA " : "A ") + server.address};
}

void DnsZone::Change(std::vector<std::string> gone, std::vector<std::string> come) {
  // Two instances may share a host's records: they go with the last of them.
  std::erase_if(gone, [&](const std::string& record) { return --holders_[record] > 0; });
  for (const std::string& record : gone) {
    holders_.erase(record);
    const auto it = zone_.find(KeyOf(record));
    it->second.erase(record);
    if (it->second.empty()) zone_.erase(it);
  }
  std::erase_if(come, [&](const std::string& record) { return ++holders_[record] > 1; });
  for (const std::string& record : come) zone_[KeyOf(record)].insert(record);
  differences_.push_back({serial_, serial_ + 1, std::move(gone), std::move(come)});
  if (differences_.size() > kDifferencesKept) differences_.pop_front();
  ++serial_;
}

void DnsZone::Publish(const std::vector<Published>& servers) {
  std::vector<std::string> gone, come;
  for (const Published& server : servers) {
    std::vector<std::string>& held = by_label_[LowerText(server.label)];
    gone.insert(gone.end(), held.begin(), held.end());
    held = RecordsOf(server);
    come.insert(come.end(), held.begin(), held.end());
  }
  Change(std::move(gone), std::move(come));
}

void DnsZone::Withdraw(const std::vector<std::string>& labels) {
  std::vector<std::string> gone;
  for (const std::string& label : labels) {
    const auto it = by_label_.find(LowerText(label));
    if (it == by_label_.end()) continue;
    gone.insert(gone.end(), it->second.begin(), it->second.end());
    by_label_.erase(it);
  }
  Change(std::move(gone), {});
}

void DnsZone::WithdrawAll() {
  std::vector<std::string> labels;
  for (const auto& [label, records] : by_label_) labels.push_back(label);
  Withdraw(labels);
}

void DnsZone::Freeze(bool frozen) {
  frozen_ = frozen ? std::make_unique<Zone>(zone_) : nullptr;
  frozen_serial_ = serial_;
}

void DnsZone::SetSerial(std::uint32_t serial) {
  serial_ = serial;
  differences_.clear();
}

bool DnsZone::HasName(const std::string& name) const {
  const auto it = shown().lower_bound(name + " ");
  if (it != shown().end() && it->first.starts_with(name + " ")) return true;
  // An empty name between others exists as well.
  return name == zone_name_ || std::any_of(shown().begin(), shown().end(), [&](const auto& set) {
           return set.first.find("." + name + " ") != std::string::npos;
         });
}

std::vector<std::string> DnsZone::Answer(Micros now, std::string_view query, bool stream) {
  ldns_pkt* raw = nullptr;
  if (ldns_wire2pkt(&raw, reinterpret_cast<const std::uint8_t*>(query.data()), query.size()) !=
      LDNS_STATUS_OK) {
    return {};
  }
  const Owned<ldns_pkt> asked(raw);
  if (ldns_rr_list_rr_count(ldns_pkt_question(asked.get())) != 1) return {};
  ldns_rr* question = ldns_rr_list_rr(ldns_pkt_question(asked.get()), 0);
  const std::string name = LowerName(ldns_rr_owner(question));
  const std::string type = TypeText(ldns_rr_get_type(question));
  asked_.push_back({now, name, type, stream, shown_serial()});
  if (fault_ == DnsFault::kSilent) return {};
  if (fault_ == DnsFault::kGarbage) return {"\x01\x02\x03 no message at all, however long it goes on"};
  const bool transfer = type == "AXFR" || type == "IXFR";
  if (transfer && stream && fault_ == DnsFault::kNone) return Transfer(asked.get(), question);

  const Owned<ldns_pkt> answer(ldns_pkt_new());
  const auto id = static_cast<std::uint16_t>(ldns_pkt_id(asked.get()) + (fault_ == DnsFault::kWrongId));
  ldns_pkt_set_id(answer.get(), id);
  ldns_pkt_set_qr(answer.get(), true);
  ldns_pkt_set_aa(answer.get(), fault_ != DnsFault::kNoAuthority);
  ldns_rr* echoed = ldns_rr_clone(question);
  if (fault_ == DnsFault::kWrongQuestion) ldns_rr_set_type(echoed, LDNS_RR_TYPE_HINFO);
  ldns_pkt_push_rr(answer.get(), LDNS_SECTION_QUESTION, echoed);
  const bool refuses = fault_ == DnsFault::kRefused || transfer;
  const bool fails = fault_ == DnsFault::kServFail || refuses;
  if (fails) ldns_pkt_set_rcode(answer.get(), refuses ? LDNS_RCODE_REFUSED : LDNS_RCODE_SERVFAIL);
  if (fault_ == DnsFault::kNoAuthority && type != "SOA") return {Finish(answer.get())};
  if (!fails) {
    const auto set = shown().find(name + " " + type);
    if (type == "SOA" && name == zone_name_) {
      Push(answer.get(), LDNS_SECTION_ANSWER, Soa(shown_serial()));
    } else if (set != shown().end()) {
      for (const std::string& record : set->second) Push(answer.get(), LDNS_SECTION_ANSWER, record);
    } else {
      if (!HasName(name)) ldns_pkt_set_rcode(answer.get(), LDNS_RCODE_NXDOMAIN);
      Push(answer.get(), LDNS_SECTION_AUTHORITY, Soa(shown_serial()));
    }
    if (additional_ && type == "PTR" && set != shown().end()) {
      for (const auto& [label, records] : by_label_) {
        for (std::size_t i = 1; i < records.size(); ++i) {
          Push(answer.get(), LDNS_SECTION_ADDITIONAL, records[i]);
        }
      }
    }
  }
  std::string bytes = Finish(answer.get());
  const std::size_t offered = ldns_pkt_edns(asked.get()) ? ldns_pkt_edns_udp_size(asked.get()) : 0;
  if ((!stream && bytes.size() > std::max(kPlainDatagram, offered)) || fault_ == DnsFault::kAlwaysTruncated) {
    const Owned<ldns_pkt> cut(ldns_pkt_new());
    ldns_pkt_set_id(cut.get(), id);
    ldns_pkt_set_qr(cut.get(), true);
    ldns_pkt_set_tc(cut.get(), true);
    ldns_pkt_push_rr(cut.get(), LDNS_SECTION_QUESTION, ldns_rr_clone(question));
    bytes = Finish(cut.get());
  }
  if (fault_ == DnsFault::kLyingCount) bytes[7] = '\x7f';
  // The owner of the first record, made to point at itself.
  if (fault_ == DnsFault::kLoop) {
    bytes.resize(12);
    bytes[5] = 0;
    bytes[7] = 1;
    bytes += std::string("\xc0\x0c\x00\x0c\x00\x01\x00\x00\x00\x05\x00\x02\xc0\x0c", 14);
  }
  return {bytes};
}

std::vector<std::string> DnsZone::Transfer(ldns_pkt* query, ldns_rr* question) {
  std::vector<std::string> records{Soa(shown_serial())};
  bool whole = ldns_rr_get_type(question) == LDNS_RR_TYPE_AXFR;
  if (!whole && ldns_rr_list_rr_count(ldns_pkt_authority(query)) == 1) {
    ldns_rr* held = ldns_rr_list_rr(ldns_pkt_authority(query), 0);
    const std::uint32_t serial = ldns_rdf2native_int32(ldns_rr_rdf(held, 2));
    const auto from = std::find_if(differences_.begin(), differences_.end(),
                                   [&](const Difference& d) { return d.from == serial; });
    if (serial != shown_serial() && from == differences_.end()) whole = true;
    for (auto it = from; !whole && it != differences_.end(); ++it) {
      records.push_back(Soa(it->from));
      records.insert(records.end(), it->gone.begin(), it->gone.end());
      records.push_back(Soa(it->to));
      records.insert(records.end(), it->come.begin(), it->come.end());
    }
  }
  if (whole) {
    for (const auto& [key, set] : shown()) records.insert(records.end(), set.begin(), set.end());
  }
  if (records.size() > 1 || whole) records.push_back(Soa(shown_serial()));
  std::vector<std::string> messages;
  for (std::size_t i = 0; i < records.size(); i += kRecordsAMessage) {
    const Owned<ldns_pkt> part(ldns_pkt_new());
    ldns_pkt_set_id(part.get(), ldns_pkt_id(query));
    ldns_pkt_set_qr(part.get(), true);
    ldns_pkt_set_aa(part.get(), true);
    if (i == 0) ldns_pkt_push_rr(part.get(), LDNS_SECTION_QUESTION, ldns_rr_clone(question));
    for (std::size_t j = i; j < std::min(records.size(), i + kRecordsAMessage); ++j) {
      Push(part.get(), LDNS_SECTION_ANSWER, records[j]);
    }
    messages.push_back(Finish(part.get()));
  }
  return messages;
}

}  // namespace tulipyoke::standins
