#include "adapter/format_error.hpp"

namespace tulipyoke::wire {

std::string ToString(const FormatError& error) {
  const std::string detail = std::to_string(error.detail);
  switch (error.code) {
    case FormatErrorCode::kHeaderTruncated:
      return "the header of a batch is incomplete";
    case FormatErrorCode::kBatchTooLarge:
      return "a batch of " + detail + " bytes is too large";
    case FormatErrorCode::kBatchTooSmall:
      return "a batch is too small for " + detail + " records";
    case FormatErrorCode::kClockOutOfRange:
      return "the time of a batch is out of range";
    case FormatErrorCode::kRecordOutsideBody:
      return "record " + detail + " is outside its batch";
    case FormatErrorCode::kFieldOutsideTail:
      return "a field refers to bytes outside the tail (offset " + detail + ")";
    case FormatErrorCode::kUnknownEventCode:
      return "unknown event code " + detail;
    case FormatErrorCode::kUnknownStatus:
      return "unknown status code " + detail;
    case FormatErrorCode::kUnknownListKind:
      return "unknown endpoint list kind " + detail;
    case FormatErrorCode::kUnknownListSlot:
      return "unknown endpoint list slot " + detail;
    case FormatErrorCode::kUnknownServerState:
      return "unknown server state " + detail;
    case FormatErrorCode::kUnknownRole:
      return "unknown role code " + detail;
    case FormatErrorCode::kReportTooLong:
      return "a load report with " + detail + " values is too long";
    case FormatErrorCode::kInvalidGroup:
      return "a request has an invalid group";
    case FormatErrorCode::kSettingsLineInvalid:
      return "a settings line has no '=': " + error.text;
    case FormatErrorCode::kSettingsInvalid:
      return error.text;
  }
  return "unknown format error";
}

}  // namespace tulipyoke::wire
