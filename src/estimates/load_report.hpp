// Parses the load reports of servers; the settings name their fields.
#ifndef TULIPYOKE_SRC_ESTIMATES_LOAD_REPORT_HPP_
#define TULIPYOKE_SRC_ESTIMATES_LOAD_REPORT_HPP_

#include <cstddef>
#include <optional>

#include "tulipyoke/router.hpp"

namespace tulipyoke::estimates {

// The contents of a load report, without impossible values.
struct LoadReport {
  std::optional<double> queue_length;  // requests that are waiting
  std::optional<double> in_service;    // requests being served while others wait
  std::optional<Micros> position;      // never later than the report
  Role role = Role::kUnknown;
};

class LoadReportReader {
 public:
  explicit LoadReportReader(const Settings& settings);

  bool ReportsQueueLength() const { return queue_.has_value(); }
  LoadReport Read(const Report& report) const;

 private:
  using FieldIndex = std::optional<std::size_t>;

  bool rounded_floats_ = true;
  FieldIndex position_;
  FieldIndex role_;
  FieldIndex queue_;
  FieldIndex in_flight_;
};

}  // namespace tulipyoke::estimates

#endif  // TULIPYOKE_SRC_ESTIMATES_LOAD_REPORT_HPP_
