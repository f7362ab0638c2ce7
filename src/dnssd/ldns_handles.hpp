// Smart pointers for the objects that ldns allocates, and conversions of its types.
#ifndef TULIPYOKE_SRC_DNSSD_LDNS_HANDLES_HPP_
#define TULIPYOKE_SRC_DNSSD_LDNS_HANDLES_HPP_

#include <ldns/ldns.h>
// ldns defines these as macros, which breaks standard headers included after it.
#undef bool
#undef true
#undef false

#include <cstdint>
#include <cstdlib>
#include <memory>
#include <string>

namespace tulipyoke::dnssd {

// Deletes an ldns object together with all that it owns.
struct LdnsDelete {
  void operator()(ldns_pkt* packet) const { ldns_pkt_free(packet); }
  void operator()(ldns_rdf* data) const { ldns_rdf_deep_free(data); }
  void operator()(ldns_rr* record) const { ldns_rr_free(record); }
  void operator()(ldns_rr_list* records) const { ldns_rr_list_deep_free(records); }
  // NOLINTBEGIN(cppcoreguidelines-no-malloc): ldns allocates these with malloc.
  void operator()(char* text) const { std::free(text); }
  void operator()(std::uint8_t* bytes) const { std::free(bytes); }
  // NOLINTEND(cppcoreguidelines-no-malloc)
};
template <typename T>
using LdnsPtr = std::unique_ptr<T, LdnsDelete>;

// The presentation form of a name, address or other record field; empty on failure.
inline std::string ToPresentation(const ldns_rdf* data) {
  const LdnsPtr<char> text(ldns_rdf2str(data));
  return text ? text.get() : "";
}

}  // namespace tulipyoke::dnssd

#endif  // TULIPYOKE_SRC_DNSSD_LDNS_HANDLES_HPP_
