#include "foxtailspread/key_assigner.h"

namespace foxtailspread {

std::string_view key_assigner::ZoneOfHost(std::string_view address) const {
  for (const auto& [name, state] : hosts_seen_) {
    if (state.address == address) {
      return state.zone;
    }
  }
  for (const host_contact& contact : shared_hosts_.hosts) {
    if (contact.address == address) {
      return contact.zone;
    }
  }
  return "";
}

}  // namespace foxtailspread
