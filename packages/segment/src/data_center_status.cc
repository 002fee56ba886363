#include "cowslip/segment/data_center_status.h"

namespace cowslip::segment {

std::string_view ToString(DataCenterStatus status) {
  switch (status) {
    case DataCenterStatus::kOpen:
      return "open";
    case DataCenterStatus::kEvacuated:
      return "evacuated";
    case DataCenterStatus::kUnknown:
      return "evacuations_unknown";
    case DataCenterStatus::kUnconfirmed:
      return "evacuations_unconfirmed";
  }
  return "evacuations_unknown";
}

}  // namespace cowslip::segment
