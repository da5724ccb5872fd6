#include <LibPlatform/ReplyItems.h>

#include <utility>

namespace Ibisturn {

namespace {

using Json = nlohmann::json;

/// Finds the items of a list in the text of an object by its quotes and brackets alone.
class ItemScanner {
public:
    /// Precondition: `text` outlives this object.
    ItemScanner(std::string_view text, std::string_view list)
        : text_(text)
        , list_(list)
    {
    }

    /// Returns false if there is no such list, or if it does not end.
    bool scan()
    {
        for (position_ = 0; position_ < text_.size(); ++position_) {
            switch (text_[position_]) {
            case '"':
                skipString();
                break;
            case '{':
            case '[':
                open();
                break;
            case '}':
            case ']':
                close();
                break;
            case ',':
                if (isInList_ && depth_ == itemDepth)
                    endItem();
                break;
            default:
                break;
            }
        }
        return hasEnded_;
    }

    const std::vector<std::string_view>& items() const { return items_; }

    /// The object with an empty list.
    std::string rest() const
    {
        std::string rest(text_.substr(0, listStart_));
        rest += text_.substr(listEnd_);
        return rest;
    }

private:
    /// The depth of the object's fields, and of the items of a list in it.
    static constexpr std::size_t fieldDepth = 1;
    static constexpr std::size_t itemDepth = 2;

    void skipString()
    {
        const auto start = ++position_;
        for (; position_ < text_.size() && text_[position_] != '"'; ++position_) {
            if (text_[position_] == '\\')
                ++position_;
        }
        if (depth_ == fieldDepth && position_ < text_.size())
            lastText_ = text_.substr(start, position_ - start);
    }

    void open()
    {
        if (depth_ == fieldDepth && text_[position_] == '[' && lastText_ == list_ && !hasEnded_) {
            isInList_ = true;
            listStart_ = itemStart_ = position_ + 1;
        }
        ++depth_;
    }

    void close()
    {
        if (isInList_ && depth_ == itemDepth) {
            endItem();
            isInList_ = false;
            hasEnded_ = true;
            listEnd_ = position_;
        }
        depth_ -= depth_ > 0 ? 1 : 0;
    }

    void endItem()
    {
        const auto item = text_.substr(itemStart_, position_ - itemStart_);
        itemStart_ = position_ + 1;
        if (item.find_first_not_of(" \t\r\n") != std::string_view::npos)
            items_.push_back(item);
    }

    std::string_view text_;
    std::string_view list_;
    std::size_t position_ { 0 };
    std::size_t depth_ { 0 };
    /// The last string outside of the fields' values that are objects or lists: the name of the field, if a list follows.
    std::string_view lastText_;
    bool isInList_ { false };
    bool hasEnded_ { false };
    std::size_t listStart_ { 0 };
    std::size_t listEnd_ { 0 };
    std::size_t itemStart_ { 0 };
    std::vector<std::string_view> items_;
};

std::optional<ItemizedReply> parseItemByItem(const std::string& text, std::string_view list)
{
    ItemScanner scanner(text, list);
    if (!scanner.scan())
        return std::nullopt;
    ItemizedReply reply { Json::parse(scanner.rest(), nullptr, false), {} };
    if (!reply.object.is_object())
        return std::nullopt;
    reply.object.erase(std::string(list));
    for (const auto item : scanner.items()) {
        auto parsed = Json::parse(item, nullptr, false);
        reply.items.push_back(parsed.is_discarded() ? Json() : std::move(parsed));
    }
    return reply;
}

} // namespace

std::optional<ItemizedReply> parseItemizedReply(const std::string& text, std::string_view list)
{
    auto object = Json::parse(text, nullptr, false);
    if (object.is_discarded())
        return parseItemByItem(text, list);
    const auto found = object.is_object() ? object.find(std::string(list)) : object.end();
    if (!object.is_object() || found == object.end() || !found->is_array())
        return std::nullopt;
    ItemizedReply reply;
    reply.items = std::move(found->get_ref<Json::array_t&>());
    object.erase(found);
    reply.object = std::move(object);
    return reply;
}

} // namespace Ibisturn
