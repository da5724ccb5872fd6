#include <LibHTTP/Callers/CompletionScanner.h>

#include <LibCore/Error.h>

#include <nlohmann/json.hpp>

namespace Ibisturn {

namespace {

constexpr std::size_t maxDepth = 32;

/// SAX handler that limits the nesting depth and extracts fields of the outermost object.
class CompletionHandler final : public nlohmann::json_sax<nlohmann::json> {
public:
    CompletionSummary summary;
    bool isTooDeep { false };

    bool null() override { return acceptValue(); }
    bool boolean(bool /*value*/) override { return acceptValue(); }
    bool number_integer(number_integer_t /*value*/) override { return acceptValue(); }
    bool number_unsigned(number_unsigned_t /*value*/) override { return acceptValue(); }
    bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return acceptValue(); }
    bool binary(binary_t& /*value*/) override { return false; }
    bool start_object(std::size_t /*elements*/) override { return descend(); }
    bool end_object() override { return ascend(); }
    bool end_array() override { return ascend(); }

    // The outermost value must be an object.
    bool start_array(std::size_t /*elements*/) override { return depth_ > 0 && descend(); }

    bool string(string_t& value) override
    {
        if (!isModel())
            return acceptValue();
        summary.model = ModelName(value);
        return true;
    }

    // Refuses a second `model`: a backend server might use the first one and this parser the last.
    bool key(string_t& value) override
    {
        if (depth_ != 1)
            return true;
        isModelNext_ = value == "model";
        if (!isModelNext_)
            return true;
        const bool isFirst = !hasModel_;
        hasModel_ = true;
        return isFirst;
    }

    bool parse_error(std::size_t /*position*/, const std::string& /*token*/, const nlohmann::detail::exception& /*error*/) override
    {
        return false;
    }

private:
    bool isModel() const { return depth_ == 1 && isModelNext_; }
    // The value of `model` must be a string.
    bool acceptValue() const { return depth_ > 0 && !isModel(); }

    bool descend()
    {
        if (isModel())
            return false;
        ++depth_;
        isTooDeep = depth_ > maxDepth;
        return !isTooDeep;
    }

    bool ascend()
    {
        --depth_;
        return true;
    }

    std::size_t depth_ { 0 };
    bool isModelNext_ { false };
    bool hasModel_ { false };
};

} // namespace

CompletionSummary scanCompletion(std::string_view body)
{
    CompletionHandler handler;
    if (nlohmann::json::sax_parse(body, &handler))
        return handler.summary;
    if (handler.isTooDeep)
        throw Error(ResultCode::BodyTooDeep, Ran::No, "The body's JSON is nested too deeply");
    throw Error(ResultCode::MalformedBody, Ran::No, "The body is not a JSON object");
}

} // namespace Ibisturn
