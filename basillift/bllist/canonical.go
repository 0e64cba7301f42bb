package bllist

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// The walker takes some 100 ms for each MB, which for a list of 100,000
// customers is more than the whole time that a change may take to reach every
// daemon. Lists of customers are therefore first decoded by encoding/json, which
// is not strict, and written again in canonical form. When that equals the value
// without its white space, the value has no duplicate, unknown or differently
// spelled name, and the walker would find nothing either. Only a list in another
// form, such as with the fields in another order, pays for the walker.

// fastCustomers returns false when the walker has to decide.
func fastCustomers(data []byte) (CustomerList, bool) {
	var list CustomerList
	if len(data) > MaxValue || json.Unmarshal(data, &list) != nil {
		return CustomerList{}, false
	}
	if list.Epoch < 1 || list.Epoch > maxEpoch || len(list.Customers) == 0 || len(list.Parts) > 0 {
		return CustomerList{}, false
	}
	for _, c := range list.Customers {
		if !validName(c.Name) || !validName(c.Plan) {
			return CustomerList{}, false
		}
	}
	compact := bytes.NewBuffer(make([]byte, 0, len(data)))
	if json.Compact(compact, data) != nil {
		return CustomerList{}, false
	}
	return list, bytes.Equal(compact.Bytes(), canonicalCustomers(list.Epoch, list.Customers, compact.Len()))
}

// canonicalCustomers writes valid entries with their fields in the order of the
// design page. Valid names need no escapes.
func canonicalCustomers(epoch int, customers []CustomerEntry, size int) []byte {
	data := make([]byte, 0, size)
	data = append(data, `{"epoch":`...)
	data = strconv.AppendInt(data, int64(epoch), 10)
	data = append(data, `,"customers":[`...)
	for i, c := range customers {
		if i > 0 {
			data = append(data, ',')
		}
		data = append(data, `{"name":"`...)
		data = append(data, c.Name...)
		data = append(data, `","plan":"`...)
		data = append(data, c.Plan...)
		data = append(data, `"}`...)
	}
	return append(data, `]}`...)
}
