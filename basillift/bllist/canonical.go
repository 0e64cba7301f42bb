package bllist

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// The strict decoder takes about 100 ms per MB. For a list of 100,000 customers that
// exceeds the time in which a change must reach every daemon. Lists of customers are
// therefore first decoded by encoding/json, which is not strict, and encoded again in
// canonical form. If the result equals the value without its white space, no field
// name in the value is duplicate, unknown or in another letter case, so the strict
// decoder would report no problem. Only a list in another form, for example with
// another order of fields, needs the strict decoder.

// decodeCanonicalCustomers decodes a valid list in canonical form. It returns false
// for any other value, which then needs the strict decoder.
func decodeCanonicalCustomers(data []byte) (CustomerList, bool) {
	var list CustomerList
	if len(data) > MaxValueBytes || json.Unmarshal(data, &list) != nil {
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

// canonicalCustomers encodes valid entries as compact JSON, with the fields in the
// order epoch, customers, and name, plan in each entry. Valid names need no escaping.
// The size is the initial capacity of the result in bytes.
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
