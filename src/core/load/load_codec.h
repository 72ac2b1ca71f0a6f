#ifndef FOXTAILSPREAD_CORE_LOAD_LOAD_CODEC_H_
#define FOXTAILSPREAD_CORE_LOAD_LOAD_CODEC_H_

/// @file
/// Form of a loads_record in datagrams.

#include <nlohmann/json.hpp>
#include <string_view>

#include "foxtailspread/host_messages.h"

namespace foxtailspread::load_codec {

nlohmann::json ToJson(std::string_view tag, const loads_record& record);

/// Throws the JSON library's exceptions on malformed input.
loads_record Read(const nlohmann::json& value);

}  // namespace foxtailspread::load_codec

#endif  // FOXTAILSPREAD_CORE_LOAD_LOAD_CODEC_H_
