// What an answer to the browser of a zone proves. Pure functions.
#ifndef TULIPYOKE_SRC_DNSSD_ANSWER_CHECKS_HPP_
#define TULIPYOKE_SRC_DNSSD_ANSWER_CHECKS_HPP_

#include <cstdint>
#include <optional>
#include <vector>

#include "src/dnssd/message.hpp"

namespace tulipyoke::dnssd {

// The records that answer the question; others may come along, such as a CNAME.
std::vector<Record> MatchingRecords(const std::vector<Record>& records, const Question& question);

// The serial in the SOA record of that zone; none where there is no such record.
std::optional<std::uint32_t> FindSerial(const std::vector<Record>& records, const DomainName& zone);

// Whether the message speaks for the zone of `name`: it is authoritative, or a resolver passes on the SOA of
// a zone that holds the name (RFC 2308, 3). Only then does an empty answer prove that there are no records.
bool IsAuthoritativeFor(const Message& message, const DomainName& name);

}  // namespace tulipyoke::dnssd

#endif  // TULIPYOKE_SRC_DNSSD_ANSWER_CHECKS_HPP_
